/** The journal on the shared log: its codec, its readers and its writer. */
package org.foxtailplank.node.journal;
