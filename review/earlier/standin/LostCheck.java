package review.standin;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Checks LOST for accepted jobs that nobody has cancelled, {@code finish_s} after the traffic. */
final class LostCheck {
    private static final long IDLE_MS = 3000;

    /** Largest demand of a subtask that waits, in thousandths of a core. */
    private static final long SUBTASK_CPU = 3500;

    private static final long SAMPLE_MS = 50;

    private final Recorder mRecorder;
    private final Platform mPlatform;
    private final Consumer mConsumer;

    LostCheck(Recorder recorder, Platform platform, Consumer consumer) {
        mRecorder = recorder;
        mPlatform = platform;
        mConsumer = consumer;
    }

    /**
     * Asks for all jobs, and watches those that aren't completed for a time.
     *
     * @param timed jobs of which a subtask's turn comes at its time only
     */
    boolean holds(long watchMs, Set<String> timed) throws InterruptedException {
        Map<String, Long> idleSinceMs = new HashMap<>();
        int unanswered = 0;
        for (Map.Entry<String, Consumer.Reply> job : mConsumer.states().entrySet()) {
            if (job.getValue().status() != 200) {
                mRecorder.line("LOST: job %s isn't answered for", job.getKey());
                unanswered++;
            } else if (!job.getValue().isCompleted() && !timed.contains(job.getKey())) {
                idleSinceMs.put(job.getKey(), mRecorder.nowMs());
            }
        }
        mRecorder.line("check: %d jobs aren't completed", idleSinceMs.size());
        Map<String, Long> longestMs = new HashMap<>();
        long endMs = mRecorder.nowMs() + watchMs;
        while (mRecorder.nowMs() < endMs) {
            for (String job : idleSinceMs.keySet()) {
                long now = mRecorder.nowMs();
                String service = mConsumer.accepted().get(job);
                long cpu = mPlatform.cpu(service);
                long used = mPlatform.usedCpu(service);
                boolean room = cpu - used >= 2 * SUBTASK_CPU && 2 * used < cpu;
                if (mPlatform.running(job) > 0 || !room) {
                    idleSinceMs.put(job, now);
                }
                longestMs.merge(job, now - idleSinceMs.get(job), Math::max);
            }
            Thread.sleep(SAMPLE_MS);
        }
        int lost = 0;
        for (Map.Entry<String, Long> job : longestMs.entrySet()) {
            String service = mConsumer.accepted().get(job.getKey());
            // All jobs have one step, so that each subtask that isn't done has its turn.
            boolean owed = mPlatform.done(job.getKey()) < mConsumer.subtasks(job.getKey());
            if (job.getValue() >= IDLE_MS && owed) {
                mRecorder.line(
                        "LOST: job %s of %s had nothing running for %d ms, %d of %d cpu in use",
                        job.getKey(),
                        service,
                        job.getValue(),
                        mPlatform.usedCpu(service),
                        mPlatform.cpu(service));
                lost++;
            }
        }
        return lost + unanswered == 0;
    }
}
