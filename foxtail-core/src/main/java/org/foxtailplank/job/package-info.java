/** Jobs made of steps of tasks: what callers hand in, and what is known of its progress. */
package org.foxtailplank.job;
