package org.foxtailplank.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.foxtailplank.job.JobDefinition;

/** Mean objectives of the jobs that each service has accepted recently, in milliseconds. */
public final class TypicalObjectives {
    /** Weight of the newest job. A queue accepts some 16 jobs in the first second of its turn. */
    private static final double WEIGHT = 1.0 / 16;

    private final Map<String, Double> mMeans = new HashMap<>();

    /** Records an accepted job; standing jobs and those with a timetable have no objective. */
    public void record(JobDefinition job) {
        if (!job.isStanding() && !job.timetable().isTimed()) {
            double objective = job.objectiveLengthMs();
            mMeans.merge(job.service(), objective, (mean, o) -> mean + WEIGHT * (o - mean));
        }
    }

    /** Returns the mean objective of a service's jobs; empty if none was accepted. */
    public OptionalLong objectiveMs(String service) {
        Double mean = mMeans.get(service);
        return mean == null ? OptionalLong.empty() : OptionalLong.of(mean.longValue());
    }
}
