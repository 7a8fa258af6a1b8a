/** Load balancing over the instances of a service, with outlier ejection. */
package org.foxtailplank.internal.routing;
