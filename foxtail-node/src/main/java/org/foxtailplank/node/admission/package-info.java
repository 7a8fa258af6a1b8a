/**
 * Capacity of the pools as the owner measures and reports it and as each node knows it, and the
 * owner's handover that doesn't store refused jobs.
 */
package org.foxtailplank.node.admission;
