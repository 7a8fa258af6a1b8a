/** Measures the real fleet decisions under a fake clock, against a naive baseline. */
package org.foxtailplank.load.internal.fleet;
