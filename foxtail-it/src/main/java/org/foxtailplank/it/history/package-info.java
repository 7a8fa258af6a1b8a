/** Records what callers and backend servers saw, and finds promises that were broken. */
package org.foxtailplank.it.history;
