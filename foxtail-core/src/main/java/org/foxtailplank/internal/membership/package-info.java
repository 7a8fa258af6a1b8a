/** Failure detection, heartbeat scheduling and catch-up decisions for cluster members. */
package org.foxtailplank.internal.membership;
