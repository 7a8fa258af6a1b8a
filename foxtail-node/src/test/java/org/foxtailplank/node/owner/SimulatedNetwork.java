package org.foxtailplank.node.owner;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.foxtailplank.node.FakeTime;

/**
 * Calls between processes that may be lost, delayed or carried out after their timeout, and
 * connections that are cut for some time.
 */
final class SimulatedNetwork {
    /** Calls that would be carried out later than this are lost, in milliseconds. */
    private static final int MAX_LATE_MS = 9000;

    private static final int SLOW_MS = 350;
    private static final int FAST_MS = 8;
    private static final double LATE_AFTER_CUT_SHARE = 0.3;
    private static final double NOT_SENT_SHARE = 0.3;

    private final FakeTime mTime;
    private final Random mRandom;
    private final Map<String, Long> mCutUntilMs = new HashMap<>();
    private double mLossRate;
    private double mSlowRate;

    SimulatedNetwork(FakeTime time, Random random) {
        mTime = time;
        mRandom = random;
    }

    /** Sets the shares of calls that are lost or late, and of those that are slow. */
    void setRates(double lossRate, double slowRate) {
        mLossRate = lossRate;
        mSlowRate = slowRate;
    }

    void cut(String from, String to, long ms) {
        mCutUntilMs.merge(from + '>' + to, mTime.nowMs() + ms, Math::max);
    }

    boolean isCut(String from, String to) {
        return mCutUntilMs.getOrDefault(from + '>' + to, 0L) > mTime.nowMs();
    }

    /** A server's part of a call. */
    @FunctionalInterface
    interface Server<T> {
        /** Carries out a call; {@code reply} takes the answer, at once or later. */
        void execute(Consumer<T> reply);
    }

    /**
     * A call.
     *
     * @param timeoutMs how long the client waits for an answer
     * @param lateMs how much longer it accepts one, after it was told that there is none
     * @param unanswered result without an answer
     * @param notSent result without a connection
     */
    record Call<T>(String from, String to, long timeoutMs, long lateMs, T unanswered, T notSent) {}

    /** What the client knows of a call: its result, and whether that was the answer. */
    private static final class PendingCall {
        private boolean mCompleted;
        private boolean mAnswered;
    }

    <T> void send(SimulatedProcess client, Call<T> call, Server<T> server, Consumer<T> callback) {
        client.send(() -> sendNow(client, call, server, callback));
    }

    private <T> void sendNow(
            SimulatedProcess client, Call<T> call, Server<T> server, Consumer<T> callback) {
        boolean cut = isCut(call.from(), call.to());
        boolean lost = mRandom.nextDouble() < mLossRate;
        if ((cut || lost) && mRandom.nextDouble() < NOT_SENT_SHARE) {
            client.after(mRandom.nextInt(SLOW_MS), () -> callback.accept(call.notSent()));
            return;
        }
        PendingCall pending = new PendingCall();
        long sentMs = mTime.nowMs();
        client.after(
                call.timeoutMs(),
                () -> {
                    if (!pending.mCompleted) {
                        pending.mCompleted = true;
                        callback.accept(call.unanswered());
                    }
                });
        Consumer<T> reply = answer -> reply(client, call, sentMs, pending, answer, callback);
        if (!cut && !lost) {
            mTime.after(delayMs(), () -> server.execute(reply));
        } else if (!cut || mRandom.nextDouble() < LATE_AFTER_CUT_SHARE) {
            // The call is carried out late, or its answer is lost.
            long untilMs = mCutUntilMs.getOrDefault(call.from() + '>' + call.to(), 0L);
            long cutMs = Math.max(0, untilMs - sentMs);
            boolean late = mRandom.nextBoolean();
            long delayMs = cutMs + (late ? mRandom.nextInt(MAX_LATE_MS) : delayMs());
            boolean answers = mRandom.nextBoolean();
            if (delayMs < MAX_LATE_MS) {
                mTime.after(delayMs, () -> server.execute(answers ? reply : a -> {}));
            }
        }
    }

    private <T> void reply(
            SimulatedProcess client,
            Call<T> call,
            long sentMs,
            PendingCall pending,
            T answer,
            Consumer<T> callback) {
        if (isCut(call.to(), call.from())) {
            return;
        }
        mTime.after(
                delayMs(),
                () ->
                        client.receive(
                                () -> {
                                    boolean late = pending.mCompleted;
                                    long tookMs = mTime.nowMs() - sentMs;
                                    boolean accepted = tookMs < call.timeoutMs() + call.lateMs();
                                    if (!late || accepted && !pending.mAnswered) {
                                        pending.mCompleted = true;
                                        pending.mAnswered = true;
                                        callback.accept(answer);
                                    }
                                }));
    }

    int delayMs() {
        return 1 + mRandom.nextInt(mRandom.nextDouble() < mSlowRate ? SLOW_MS : FAST_MS);
    }
}
