/** Structured log lines on standard output. */
package org.foxtailplank.node.log;
