/** Runs a node for a moment, so that the JVM can archive the classes that a start needs. */
package org.foxtailplank.node.warmup;
