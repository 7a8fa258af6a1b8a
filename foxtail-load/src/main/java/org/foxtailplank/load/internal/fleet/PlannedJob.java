package org.foxtailplank.load.internal.fleet;

import org.foxtailplank.fleet.Resources;
import org.foxtailplank.id.JobId;
import org.foxtailplank.state.JobSpec;

/**
 * A job that will be submitted.
 *
 * @param atMs time of its submission
 * @param id its name
 * @param spec what it declares
 * @param real what one task really takes
 * @param taskMs time that one task runs
 */
record PlannedJob(long atMs, JobId id, JobSpec spec, Resources real, long taskMs) {}
