/** Runs of real nodes under faults from outside, with the users' promises checked meanwhile. */
package org.foxtailplank.soak;
