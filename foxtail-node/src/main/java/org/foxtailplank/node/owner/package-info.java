/** Who owns the jobs, and the owner's work: it carries out what the scheduler decides. */
package org.foxtailplank.node.owner;
