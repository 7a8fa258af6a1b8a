/** Job model: the submitted definition, its tasks, and the state replayed from the journal. */
package org.foxtailplank.job;
