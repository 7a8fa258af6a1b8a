package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.node.FakeTime;

/** Record of all runs on the simulated workers, which finds a task that is started twice. */
final class SimulatedRuns {
    private final FakeTime mTime;
    private final Map<TaskName, Map<SimulatedWorker, Integer>> mRunning = new HashMap<>();
    private final Map<TaskName, Long> mLastStartMs = new HashMap<>();
    private final Map<TaskName, Long> mAcknowledgedDoneMs = new HashMap<>();
    private final List<String> mTrace = new ArrayList<>();
    private Optional<String> mViolation = Optional.empty();
    private int mStarts;

    SimulatedRuns(FakeTime time) {
        mTime = time;
    }

    void trace(String line) {
        mTrace.add(mTime.nowMs() + " " + line);
    }

    List<String> trace() {
        return mTrace;
    }

    int starts() {
        return mStarts;
    }

    Optional<String> violation() {
        return mViolation;
    }

    private void violated(String text) {
        trace("VIOLATION " + text);
        if (mViolation.isEmpty()) {
            mViolation = Optional.of(mTime.nowMs() + " ms: " + text);
        }
    }

    void started(SimulatedWorker worker, TaskName task, int attempt, long token) {
        mStarts++;
        trace("start " + task + " attempt " + attempt + " on " + worker + " token " + token);
        Map<SimulatedWorker, Integer> running =
                mRunning.computeIfAbsent(task, t -> new LinkedHashMap<>());
        List.copyOf(running.keySet()).forEach(SimulatedWorker::update);
        if (!running.isEmpty()) {
            violated(
                    task + " attempt " + attempt + " starts on " + worker + ", runs on " + running);
        }
        if (mAcknowledgedDoneMs.containsKey(task)) {
            violated(task + " starts on " + worker + " after an acknowledged end");
        }
        running.put(worker, attempt);
        mLastStartMs.put(task, mTime.nowMs());
    }

    void ended(SimulatedWorker worker, TaskName task, int attempt, String how) {
        trace("end " + task + " attempt " + attempt + " on " + worker + " " + how);
        Map<SimulatedWorker, Integer> running = mRunning.getOrDefault(task, new HashMap<>());
        running.remove(worker, attempt);
    }

    /** Records that the end of a run that was done was acknowledged. */
    void doneAcknowledged(SimulatedWorker worker, TaskName task, long endedMs) {
        mAcknowledgedDoneMs.merge(task, endedMs, Math::min);
        if (mLastStartMs.get(task) > mAcknowledgedDoneMs.get(task)) {
            violated(task + " was started after its end on " + worker + ", now acknowledged");
        }
    }
}
