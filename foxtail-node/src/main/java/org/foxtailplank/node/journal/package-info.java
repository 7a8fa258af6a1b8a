/** The journal on the shared log: its records as bytes, how a node follows it and writes to it. */
package org.foxtailplank.node.journal;
