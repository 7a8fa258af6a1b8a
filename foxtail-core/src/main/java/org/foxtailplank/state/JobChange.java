package org.foxtailplank.state;

import org.foxtailplank.id.JobId;

/** A change of one job or of its tasks. */
public sealed interface JobChange extends Change
        permits JobSubmitted, JobCancelled, TaskIntended, TaskConfirmed {
    /** Returns the job that changes. */
    JobId job();
}
