package org.foxtailplank.wire.internal.peer;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailplank.wire.PeerException;
import org.foxtailplank.wire.PeerFailure;
import org.foxtailplank.wire.PeerMessage;
import org.foxtailplank.wire.generated.peer.EnvelopeProto;
import org.foxtailplank.wire.generated.peer.RefusalProto;

/** The asks of this node that wait for an answer. */
final class Asks {

    private static final int MAX_WAITING = 1_024;

    private final EventLoop mLoop;
    private final Map<Long, Waiting> mWaiting = new HashMap<>();
    private long mLast;

    Asks(EventLoop loop) {
        mLoop = loop;
    }

    /** A number that no other ask of this node has. */
    long nextNumber() {
        return ++mLast;
    }

    void ask(
            Session to,
            PeerMessage message,
            Duration timeout,
            CompletableFuture<PeerMessage> answer) {
        if (mWaiting.size() >= MAX_WAITING) {
            fail(answer, to, PeerFailure.NOT_SENT, "too many asks wait for their answers");
            return;
        }
        if (!to.isWritable()) {
            fail(answer, to, PeerFailure.NOT_SENT, "the peer does not keep up");
            return;
        }
        long number = nextNumber();
        Waiting waiting = new Waiting(to, answer);
        mWaiting.put(number, waiting);
        waiting.mTimeout =
                mLoop.schedule(
                        () -> end(number, PeerFailure.NO_ANSWER, "the time is up"),
                        timeout.toNanos(),
                        TimeUnit.NANOSECONDS);
        to.write(Messages.encode(message).setAsk(number).build());
    }

    /**
     * Takes an answer; false when nobody waits for it any more.
     *
     * <p>An answer counts only on the connection of its ask, so that no peer can answer for
     * another.
     */
    boolean answered(Session from, EnvelopeProto envelope) {
        Waiting waiting = mWaiting.get(envelope.getAnswerTo());
        if (waiting == null || waiting.mSession != from) {
            return false;
        }
        if (envelope.hasRefusal()) {
            refused(envelope.getAnswerTo(), envelope.getRefusal().getReason());
            return true;
        }
        mWaiting.remove(envelope.getAnswerTo());
        waiting.mTimeout.cancel(false);
        Messages.decode(envelope)
                .ifPresentOrElse(
                        waiting.mAnswer::complete,
                        () ->
                                fail(
                                        waiting.mAnswer,
                                        from,
                                        PeerFailure.NO_ANSWER,
                                        "its answer is not understood"));
        return true;
    }

    /** The connection is gone, and the answers with it. */
    void closed(Session session) {
        List<Long> lost = new ArrayList<>();
        mWaiting.forEach(
                (number, waiting) -> {
                    if (waiting.mSession == session) {
                        lost.add(number);
                    }
                });
        lost.forEach(n -> end(n, PeerFailure.NO_ANSWER, "the connection was lost"));
    }

    private void refused(long number, RefusalProto.Reason reason) {
        switch (reason) {
            case BUSY -> end(number, PeerFailure.NOT_TAKEN, "it has too much to do");
            case NOT_UNDERSTOOD ->
                    end(number, PeerFailure.NOT_TAKEN, "it does not know this kind of message");
            default -> end(number, PeerFailure.NO_ANSWER, "it failed");
        }
    }

    private void end(long number, PeerFailure failure, String why) {
        Waiting waiting = mWaiting.remove(number);
        if (waiting != null) {
            waiting.mTimeout.cancel(false);
            fail(waiting.mAnswer, waiting.mSession, failure, why);
        }
    }

    private static void fail(
            CompletableFuture<PeerMessage> answer, Session to, PeerFailure failure, String why) {
        answer.completeExceptionally(new PeerException(to.peer().node(), failure, why));
    }

    /** One ask that waits. */
    private static final class Waiting {

        final Session mSession;
        final CompletableFuture<PeerMessage> mAnswer;
        ScheduledFuture<?> mTimeout;

        Waiting(Session session, CompletableFuture<PeerMessage> answer) {
            mSession = session;
            mAnswer = answer;
        }
    }
}
