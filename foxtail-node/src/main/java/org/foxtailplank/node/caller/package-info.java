/** Answers callers: takes jobs, tells how they stand, cancels them. */
package org.foxtailplank.node.caller;
