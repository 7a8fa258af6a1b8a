package org.foxtailplank.wire.internal.peer;

import io.netty.channel.EventLoop;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.foxtailplank.internal.membership.HeartbeatDigest;
import org.foxtailplank.internal.membership.MemberTable;
import org.foxtailplank.membership.Incarnation;
import org.foxtailplank.membership.Member;
import org.foxtailplank.wire.PeerMessage;
import org.foxtailplank.wire.generated.peer.ConfirmationProto;
import org.foxtailplank.wire.generated.peer.EnvelopeProto;
import org.foxtailplank.wire.generated.peer.HeartbeatProto;
import org.foxtailplank.wire.generated.peer.IntroductionAnswerProto;
import org.foxtailplank.wire.generated.peer.IntroductionRequestProto;
import org.foxtailplank.wire.generated.peer.RefusalProto;

/** Dispatches the messages of authenticated connections. */
final class MessageDispatcher {

    private static final Logger LOG = System.getLogger("org.foxtailplank.peer");

    private final EventLoop mLoop;
    private final MemberTable mTable;
    private final Handlers mHandlers;
    private final Counters mCounters;
    private final int mMaxRequestsPerPeer;
    private final LongSupplier mOwnHeartbeatNumber;
    private final Consumer<Member> mHeartbeatListener;

    MessageDispatcher(
            EventLoop loop,
            MemberTable table,
            Handlers handlers,
            Counters counters,
            int maxRequestsPerPeer,
            LongSupplier ownHeartbeatNumber,
            Consumer<Member> heartbeatListener) {
        mLoop = loop;
        mTable = table;
        mHandlers = handlers;
        mCounters = counters;
        mMaxRequestsPerPeer = maxRequestsPerPeer;
        mOwnHeartbeatNumber = ownHeartbeatNumber;
        mHeartbeatListener = heartbeatListener;
    }

    /** Dispatches a message that is not an answer. */
    void dispatch(Session from, EnvelopeProto envelope, long now) {
        switch (envelope.getBodyCase()) {
            case HEARTBEAT -> onHeartbeat(from, envelope, now);
            case LEAVING -> mTable.memberLeft(from.peer().incarnation());
            case INTRODUCTION_REQUEST ->
                    onIntroductionRequest(from, envelope.getIntroductionRequest());
            case INTRODUCTION_ANSWER -> onIntroductionAnswer(envelope.getIntroductionAnswer(), now);
            case REFUSAL -> mCounters.mNotUnderstood.increment();
            default -> onMessage(from, envelope);
        }
    }

    private void onHeartbeat(Session from, EnvelopeProto envelope, long now) {
        HeartbeatProto heartbeat = envelope.getHeartbeat();
        Incarnation sender = from.peer().incarnation();
        mTable.heartbeatReceived(sender, heartbeat.getBeat(), now);
        mTable.updateStatus(sender, Heartbeats.status(heartbeat));
        for (HeartbeatDigest digest : Heartbeats.digests(heartbeat)) {
            mTable.digestReceived(digest, now);
        }
        heartbeat.getLeftTagList().forEach(mTable::memberLeftByTag);
        if (envelope.getAsk() != 0) {
            sendConfirmation(from, envelope.getAsk());
        }
        requestIntroductions(from);
        mTable.find(sender).ifPresent(mHeartbeatListener);
    }

    private void sendConfirmation(Session from, long request) {
        ConfirmationProto confirmation =
                ConfirmationProto.newBuilder().setBeat(mOwnHeartbeatNumber.getAsLong()).build();
        from.write(
                EnvelopeProto.newBuilder()
                        .setAnswerTo(request)
                        .setConfirmation(confirmation)
                        .build());
    }

    private void requestIntroductions(Session from) {
        List<Integer> unknownTags = mTable.drainUnknownTags();
        if (!unknownTags.isEmpty()) {
            IntroductionRequestProto request =
                    IntroductionRequestProto.newBuilder().addAllTag(unknownTags).build();
            from.write(EnvelopeProto.newBuilder().setIntroductionRequest(request).build());
        }
    }

    private void onIntroductionRequest(Session from, IntroductionRequestProto request) {
        IntroductionAnswerProto.Builder answer = IntroductionAnswerProto.newBuilder();
        mTable.identitiesOf(request.getTagList())
                .forEach(peer -> answer.addIdentity(Identities.encode(peer)));
        from.write(EnvelopeProto.newBuilder().setIntroductionAnswer(answer).build());
    }

    private void onIntroductionAnswer(IntroductionAnswerProto answer, long now) {
        answer.getIdentityList().stream()
                .map(Identities::decode)
                .flatMap(Optional::stream)
                .forEach(peer -> mTable.introduced(peer, now));
    }

    private void onMessage(Session from, EnvelopeProto envelope) {
        Optional<PeerMessage> message = Messages.decode(envelope);
        Optional<Member> sender = mTable.find(from.peer().incarnation());
        if (message.isEmpty() || sender.isEmpty()) {
            refuseUnknown(from, envelope);
            return;
        }
        if (from.requestsInFlight() >= mMaxRequestsPerPeer) {
            refuse(from, envelope, RefusalProto.Reason.BUSY);
            return;
        }
        Optional<CompletionStage<? extends PeerMessage>> answer =
                mHandlers.call(sender.get(), message.get());
        if (answer.isEmpty()) {
            refuseUnknown(from, envelope);
            return;
        }
        from.requestStarted();
        answer.get()
                .whenComplete(
                        (result, error) ->
                                mLoop.execute(() -> answer(from, envelope, result, error)));
    }

    private void answer(Session from, EnvelopeProto envelope, PeerMessage answer, Throwable error) {
        from.requestFinished();
        if (error != null) {
            LOG.log(
                    Level.WARNING,
                    "peer: Failed to handle a message of {0}: {1}.",
                    from.peer().node(),
                    error);
            refuse(from, envelope, RefusalProto.Reason.FAILED);
        } else if (envelope.getAsk() != 0) {
            from.write(Messages.encode(answer).setAnswerTo(envelope.getAsk()).build());
        }
    }

    private void refuseUnknown(Session from, EnvelopeProto envelope) {
        mCounters.mNotUnderstood.increment();
        refuse(from, envelope, RefusalProto.Reason.NOT_UNDERSTOOD);
    }

    private static void refuse(Session from, EnvelopeProto envelope, RefusalProto.Reason reason) {
        if (envelope.getAsk() != 0) {
            RefusalProto refusal = RefusalProto.newBuilder().setReason(reason).build();
            from.write(
                    EnvelopeProto.newBuilder()
                            .setAnswerTo(envelope.getAsk())
                            .setRefusal(refusal)
                            .build());
        }
    }
}
