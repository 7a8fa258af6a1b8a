package org.foxtailplank.load.internal.run;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import org.foxtailplank.load.internal.profile.PlannedRequest;
import org.foxtailplank.load.internal.result.StepResult;

/**
 * Sends each request at its intended time, whether or not earlier ones were answered.
 *
 * <p>A closed loop would send less just when the system is slow and so hide its slowness; here
 * latency counts from the intended time, so a late send counts too.
 */
public final class OpenLoop {

    private static final Duration GRACE = Duration.ofSeconds(30);

    private final Sender mSender;

    private OpenLoop(Sender sender) {
        mSender = sender;
    }

    /** A loop over a sender. */
    public static OpenLoop over(Sender sender) {
        return new OpenLoop(sender);
    }

    /** Runs one step to the end of its last answer, or to the end of the grace time. */
    public StepResult run(double load, List<PlannedRequest> plan, Duration length)
            throws InterruptedException {
        StepRecorder recorder = new StepRecorder();
        Phaser open = new Phaser(1);
        long start = System.nanoTime();
        for (PlannedRequest request : plan) {
            waitUntil(start + request.atNanos());
            open.register();
            sendOne(request, start, recorder, open);
        }
        waitUntil(start + length.toNanos());
        awaitAnswers(open);
        double seconds = length.toNanos() / 1e9;
        return StepResult.of(
                load, plan.size(), seconds, recorder.endings(), recorder.percentiles());
    }

    private void sendOne(PlannedRequest request, long start, StepRecorder recorder, Phaser open) {
        long deadlineNanos = TimeUnit.MILLISECONDS.toNanos(request.traffic().deadlineMs());
        mSender.send(request)
                .whenComplete(
                        (ending, e) -> {
                            long nanos = System.nanoTime() - start - request.atNanos();
                            recorder.record(inTime(ending, nanos, deadlineNanos), nanos);
                            open.arriveAndDeregister();
                        });
    }

    private static Ending inTime(Ending ending, long nanos, long deadlineNanos) {
        if (ending == null) {
            return Ending.ERROR;
        }
        return ending == Ending.OK && nanos > deadlineNanos ? Ending.LATE : ending;
    }

    private static void awaitAnswers(Phaser open) throws InterruptedException {
        try {
            open.awaitAdvanceInterruptibly(open.arrive(), GRACE.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException expected) {
            // What is not answered by now is missing from the endings, and so lowers the goodput.
        }
    }

    private static void waitUntil(long nanos) throws InterruptedException {
        long rest = nanos - System.nanoTime();
        while (rest > 0) {
            LockSupport.parkNanos(rest);
            if (Thread.interrupted()) {
                throw new InterruptedException();
            }
            rest = nanos - System.nanoTime();
        }
    }
}
