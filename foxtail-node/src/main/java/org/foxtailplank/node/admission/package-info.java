/**
 * Capacity of the pools as each node knows it, and the decision on submissions that rests on it.
 */
package org.foxtailplank.node.admission;
