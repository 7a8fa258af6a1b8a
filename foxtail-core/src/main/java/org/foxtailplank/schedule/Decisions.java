package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.job.WorkerIncarnation;

/** Actions for the owner to take now. */
public final class Decisions {
    private final List<TaskRun> mPlanned = new ArrayList<>();
    private final List<Start> mStarts = new ArrayList<>();
    private final List<TaskRun> mStops = new ArrayList<>();
    private final List<Pace> mPaces = new ArrayList<>();
    private final List<AdviceRequest> mAsks = new ArrayList<>();

    /** A start command to send, for the first time or again. */
    public record Start(TaskRun run, String ticket) {}

    /** A run that is to work at a share of its full speed. */
    public record Pace(TaskRun run, int percent) {}

    /**
     * A request for placement advice on a step.
     *
     * @param timeoutMs how long to wait for the answer, in milliseconds
     */
    public record AdviceRequest(ActiveStep step, List<WorkerIncarnation> workers, long timeoutMs) {
        public AdviceRequest {
            workers = List.copyOf(workers);
        }

        public String job() {
            return step.job().id();
        }

        public int runNumber() {
            return step.run().number();
        }
    }

    /** New runs, which must be recorded in the journal before they are started. */
    public List<TaskRun> planned() {
        return mPlanned;
    }

    public List<Start> starts() {
        return mStarts;
    }

    public List<TaskRun> stops() {
        return mStops;
    }

    public List<Pace> paces() {
        return mPaces;
    }

    public List<AdviceRequest> adviceRequests() {
        return mAsks;
    }
}
