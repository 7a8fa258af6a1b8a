/** Helpers that connect the roles of a node. */
package org.foxtailplank.entry.internal.node;
