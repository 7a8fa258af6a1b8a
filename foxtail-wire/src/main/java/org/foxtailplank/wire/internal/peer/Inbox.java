package org.foxtailplank.wire.internal.peer;

import io.netty.channel.EventLoop;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.foxtailplank.internal.membership.BeatNews;
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

/** Takes the messages of proved connections. */
final class Inbox {

    private static final Logger LOG = System.getLogger("org.foxtailplank.peer");

    private final EventLoop mLoop;
    private final MemberTable mTable;
    private final Handlers mHandlers;
    private final Counters mCounters;
    private final int mMaxAsksPerPeer;
    private final LongSupplier mOwnBeat;
    private final Consumer<Member> mOnHeartbeat;

    Inbox(
            EventLoop loop,
            MemberTable table,
            Handlers handlers,
            Counters counters,
            int maxAsksPerPeer,
            LongSupplier ownBeat,
            Consumer<Member> onHeartbeat) {
        mLoop = loop;
        mTable = table;
        mHandlers = handlers;
        mCounters = counters;
        mMaxAsksPerPeer = maxAsksPerPeer;
        mOwnBeat = ownBeat;
        mOnHeartbeat = onHeartbeat;
    }

    /** Takes a message that is no answer. */
    void take(Session from, EnvelopeProto envelope, long now) {
        switch (envelope.getBodyCase()) {
            case HEARTBEAT -> heartbeat(from, envelope, now);
            case LEAVING -> mTable.left(from.peer().incarnation());
            case INTRODUCTION_REQUEST -> introduce(from, envelope.getIntroductionRequest());
            case INTRODUCTION_ANSWER -> introduced(envelope.getIntroductionAnswer(), now);
            case REFUSAL -> mCounters.mNotUnderstood.increment();
            default -> message(from, envelope);
        }
    }

    private void heartbeat(Session from, EnvelopeProto envelope, long now) {
        HeartbeatProto beat = envelope.getHeartbeat();
        Incarnation sender = from.peer().incarnation();
        mTable.heard(sender, beat.getBeat(), now);
        mTable.status(sender, Heartbeats.status(beat));
        for (BeatNews news : Heartbeats.news(beat)) {
            mTable.told(news, now);
        }
        beat.getLeftTagList().forEach(mTable::leftByTag);
        if (envelope.getAsk() != 0) {
            confirm(from, envelope.getAsk());
        }
        askForStrangers(from);
        mTable.find(sender).ifPresent(mOnHeartbeat);
    }

    private void confirm(Session from, long ask) {
        ConfirmationProto own =
                ConfirmationProto.newBuilder().setBeat(mOwnBeat.getAsLong()).build();
        from.write(EnvelopeProto.newBuilder().setAnswerTo(ask).setConfirmation(own).build());
    }

    private void askForStrangers(Session from) {
        List<Integer> strangers = mTable.takeStrangers();
        if (!strangers.isEmpty()) {
            IntroductionRequestProto request =
                    IntroductionRequestProto.newBuilder().addAllTag(strangers).build();
            from.write(EnvelopeProto.newBuilder().setIntroductionRequest(request).build());
        }
    }

    private void introduce(Session from, IntroductionRequestProto request) {
        IntroductionAnswerProto.Builder answer = IntroductionAnswerProto.newBuilder();
        mTable.introduce(request.getTagList())
                .forEach(peer -> answer.addIdentity(Identities.encode(peer)));
        from.write(EnvelopeProto.newBuilder().setIntroductionAnswer(answer).build());
    }

    private void introduced(IntroductionAnswerProto answer, long now) {
        answer.getIdentityList().stream()
                .map(Identities::decode)
                .flatMap(Optional::stream)
                .forEach(peer -> mTable.introduced(peer, now));
    }

    private void message(Session from, EnvelopeProto envelope) {
        Optional<PeerMessage> message = Messages.decode(envelope);
        Optional<Member> sender = mTable.find(from.peer().incarnation());
        if (message.isEmpty() || sender.isEmpty()) {
            notUnderstood(from, envelope);
            return;
        }
        if (from.asksUnderWay() >= mMaxAsksPerPeer) {
            refuse(from, envelope, RefusalProto.Reason.BUSY);
            return;
        }
        Optional<CompletionStage<? extends PeerMessage>> answer =
                mHandlers.call(sender.get(), message.get());
        if (answer.isEmpty()) {
            notUnderstood(from, envelope);
            return;
        }
        from.askBegins();
        answer.get()
                .whenComplete(
                        (result, error) ->
                                mLoop.execute(() -> answer(from, envelope, result, error)));
    }

    private void answer(Session from, EnvelopeProto envelope, PeerMessage answer, Throwable error) {
        from.askEnds();
        if (error != null) {
            LOG.log(
                    Level.WARNING,
                    "peer: A message of {0} failed: {1}.",
                    from.peer().node(),
                    error);
            refuse(from, envelope, RefusalProto.Reason.FAILED);
        } else if (envelope.getAsk() != 0) {
            from.write(Messages.encode(answer).setAnswerTo(envelope.getAsk()).build());
        }
    }

    private void notUnderstood(Session from, EnvelopeProto envelope) {
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
