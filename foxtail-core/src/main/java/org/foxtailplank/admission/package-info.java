/**
 * Decides at submission whether a job can still be served, and when a refused caller should return.
 */
package org.foxtailplank.admission;
