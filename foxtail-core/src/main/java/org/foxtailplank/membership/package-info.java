/** Cluster members, their identity, liveness state and self-reported status. */
package org.foxtailplank.membership;
