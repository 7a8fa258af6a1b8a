/** Time-based leases for operations whose recipient doesn't check fencing tokens. */
package org.foxtailplank.lease;
