/** Admission control and queueing of requests by class, team quota and deadline. */
package org.foxtailplank.internal.admission;
