package org.foxtailplank.load.internal.waits;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What the log lines of all nodes of a system tell of jobs and of what held them up.
 *
 * <p>A line may have a prefix before its JSON object, as collectors of logs add; other lines are
 * passed over.
 */
final class WaitLog {
    /** Lines that only a working owner writes. */
    private static final Set<String> OWNER_LINES = Set.of("start-order", "run-ended", "load");

    /** A refusal of the store says this much of the time after it, in milliseconds: two tries. */
    private static final long REFUSAL_MS = 250;

    private final ObjectMapper mMapper = new ObjectMapper();
    private final Map<String, Job> mJobs = new LinkedHashMap<>();
    private final Map<String, Integer> mRefused = new TreeMap<>();
    private final List<Span> mWithoutOwner = new ArrayList<>();
    private final List<Span> mStoreRefuses = new ArrayList<>();
    private long mOwnerSeenMs = Long.MAX_VALUE;
    private int mLines;

    /** A job that was accepted. */
    static final class Job {
        private final String mService;
        private final long mAcceptedMs;
        private long mStartedMs = -1;

        Job(String service, long acceptedMs) {
            mService = service;
            mAcceptedMs = acceptedMs;
        }

        String service() {
            return mService;
        }

        boolean hasStarted() {
            return mStartedMs >= 0;
        }

        /** From its acceptance until its first task was started. */
        Span waiting() {
            return new Span(mAcceptedMs, Math.max(mAcceptedMs, mStartedMs));
        }
    }

    /** Takes a line in; lines must come in the order of their times. */
    void line(String line) throws IOException {
        int begin = line.indexOf("{\"ms\"");
        if (begin < 0) {
            return;
        }
        mLines++;
        JsonNode tree = mMapper.readTree(line.substring(begin));
        long ms = tree.path("ms").asLong();
        String kind = tree.path("kind").asText();
        if (OWNER_LINES.contains(kind)) {
            mOwnerSeenMs = ms;
        }
        switch (kind) {
            case "job-submitted" -> submitted(tree, ms);
            case "start-order" -> started(tree, ms);
            case "owner-loaded" -> {
                if (mOwnerSeenMs < ms) {
                    mWithoutOwner.add(new Span(mOwnerSeenMs, ms));
                }
            }
            case "owner-append" -> mStoreRefuses.add(new Span(ms, ms + REFUSAL_MS));
            default -> {
                // Other lines tell nothing of waiting.
            }
        }
    }

    private void submitted(JsonNode tree, long ms) {
        String service = tree.path("service").asText();
        if (tree.path("outcome").asText().equals("STORED")) {
            mJobs.putIfAbsent(tree.path("job").asText(), new Job(service, ms));
        } else {
            mRefused.merge(service, 1, Integer::sum);
        }
    }

    private void started(JsonNode tree, long ms) {
        String task = tree.path("task").asText();
        int end = task.indexOf('.');
        Job job = end < 0 ? null : mJobs.get(task.substring(0, end));
        boolean done = tree.path("outcome").asText().equals("DONE");
        if (job != null && done && !job.hasStarted()) {
            job.mStartedMs = ms;
        }
    }

    /** Jobs in the order in which they were accepted. */
    List<Job> jobs() {
        return List.copyOf(mJobs.values());
    }

    /** Submissions that were not stored, by service; a caller may have tried several times. */
    Map<String, Integer> refused() {
        return mRefused;
    }

    /** Stretches in which no owner gave orders: from its last line to the next one's first look. */
    List<Span> withoutOwner() {
        return mWithoutOwner;
    }

    /** Stretches in which the store did not take the owner's records; they may overlap. */
    List<Span> storeRefuses() {
        return mStoreRefuses;
    }

    /** Lines that were read as log lines. */
    int lines() {
        return mLines;
    }
}
