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

/** Requests of this node that have not been answered yet. */
final class OutstandingRequests {

    private static final int MAX_OUTSTANDING = 1_024;

    private final EventLoop mLoop;
    private final Map<Long, OutstandingRequest> mOutstanding = new HashMap<>();
    private long mLastNumber;

    OutstandingRequests(EventLoop loop) {
        mLoop = loop;
    }

    /** Returns the next unused request number. */
    long nextNumber() {
        return ++mLastNumber;
    }

    void send(
            Session to,
            PeerMessage message,
            Duration timeout,
            CompletableFuture<PeerMessage> answer) {
        if (mOutstanding.size() >= MAX_OUTSTANDING) {
            fail(answer, to, PeerFailure.NOT_SENT, "too many unanswered requests");
            return;
        }
        if (!to.isWritable()) {
            fail(answer, to, PeerFailure.NOT_SENT, "the send buffer is full");
            return;
        }
        long number = nextNumber();
        OutstandingRequest outstanding = new OutstandingRequest(to, answer);
        mOutstanding.put(number, outstanding);
        outstanding.mTimeout =
                mLoop.schedule(
                        () ->
                                failOutstanding(
                                        number, PeerFailure.NO_ANSWER, "the request timed out"),
                        timeout.toNanos(),
                        TimeUnit.NANOSECONDS);
        to.write(Messages.encode(message).setAsk(number).build());
    }

    /**
     * Completes the request of an answer; false if there is no such request.
     *
     * <p>An answer is accepted only on the connection of its request, so that a peer cannot answer
     * for another one.
     */
    boolean onAnswer(Session from, EnvelopeProto envelope) {
        OutstandingRequest outstanding = mOutstanding.get(envelope.getAnswerTo());
        if (outstanding == null || outstanding.mSession != from) {
            return false;
        }
        if (envelope.hasRefusal()) {
            onRefusal(envelope.getAnswerTo(), envelope.getRefusal().getReason());
            return true;
        }
        mOutstanding.remove(envelope.getAnswerTo());
        outstanding.mTimeout.cancel(false);
        Messages.decode(envelope)
                .ifPresentOrElse(
                        outstanding.mAnswer::complete,
                        () ->
                                fail(
                                        outstanding.mAnswer,
                                        from,
                                        PeerFailure.NO_ANSWER,
                                        "the answer is of an unknown kind or malformed"));
        return true;
    }

    /** Fails all requests of a closed connection. */
    void onClosed(Session session) {
        List<Long> lost = new ArrayList<>();
        mOutstanding.forEach(
                (number, outstanding) -> {
                    if (outstanding.mSession == session) {
                        lost.add(number);
                    }
                });
        lost.forEach(n -> failOutstanding(n, PeerFailure.NO_ANSWER, "the connection was lost"));
    }

    private void onRefusal(long number, RefusalProto.Reason refusal) {
        switch (refusal) {
            case BUSY -> failOutstanding(number, PeerFailure.REFUSED, "the peer is busy");
            case NOT_UNDERSTOOD ->
                    failOutstanding(
                            number,
                            PeerFailure.REFUSED,
                            "the peer does not support this kind of message");
            default ->
                    failOutstanding(number, PeerFailure.NO_ANSWER, "the peer failed to handle it");
        }
    }

    private void failOutstanding(long number, PeerFailure failure, String reason) {
        OutstandingRequest outstanding = mOutstanding.remove(number);
        if (outstanding != null) {
            outstanding.mTimeout.cancel(false);
            fail(outstanding.mAnswer, outstanding.mSession, failure, reason);
        }
    }

    private static void fail(
            CompletableFuture<PeerMessage> answer, Session to, PeerFailure failure, String reason) {
        answer.completeExceptionally(new PeerException(to.peer().node(), failure, reason));
    }

    /** A request and the future of its answer. */
    private static final class OutstandingRequest {

        final Session mSession;
        final CompletableFuture<PeerMessage> mAnswer;
        ScheduledFuture<?> mTimeout;

        OutstandingRequest(Session session, CompletableFuture<PeerMessage> answer) {
            mSession = session;
            mAnswer = answer;
        }
    }
}
