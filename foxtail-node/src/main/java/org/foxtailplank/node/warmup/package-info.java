/** Training run of a node for the JVM's class data sharing archive. */
package org.foxtailplank.node.warmup;
