/** Reports of service-level burn through the platform's log, written and read by each node. */
package org.foxtailplank.platform.burn;
