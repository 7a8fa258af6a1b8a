package org.foxtailplank.wire.internal.peer;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.internal.membership.HeartbeatPlan;
import org.foxtailplank.internal.membership.MemberTable;
import org.foxtailplank.internal.membership.SilenceLimits;
import org.foxtailplank.internal.membership.TryBudget;
import org.foxtailplank.membership.Incarnation;
import org.foxtailplank.membership.LoadSummary;
import org.foxtailplank.membership.Member;
import org.foxtailplank.membership.MemberState;
import org.foxtailplank.membership.PeerIdentity;
import org.foxtailplank.membership.Seed;
import org.foxtailplank.membership.SeedSource;
import org.foxtailplank.state.StatePosition;
import org.foxtailplank.wire.CutReason;
import org.foxtailplank.wire.PeerCounts;
import org.foxtailplank.wire.PeerException;
import org.foxtailplank.wire.PeerFailure;
import org.foxtailplank.wire.PeerHandler;
import org.foxtailplank.wire.PeerLink;
import org.foxtailplank.wire.PeerLinkException;
import org.foxtailplank.wire.PeerLinkLimits;
import org.foxtailplank.wire.PeerLinkOptions;
import org.foxtailplank.wire.PeerMessage;
import org.foxtailplank.wire.generated.peer.EnvelopeProto;
import org.foxtailplank.wire.generated.peer.LeavingProto;

/** The link of one node; all of its state belongs to the transport's one thread. */
public final class PeerNode implements PeerLink, SessionOwner {

    private static final Duration MAINTAIN_EVERY = Duration.ofMillis(100);
    private static final int MAX_INCOMING = 1_024;

    /** Far above the time in which a node of a large system gets round to each of its peers. */
    private static final long IDLE_NANOS = Duration.ofMinutes(5).toNanos();

    private static final long LEAVE_MILLIS = 200;

    private final PeerLinkOptions mOptions;
    private final PeerKey mKey;
    private final Counters mCounters = new Counters();
    private final Transport mTransport = new Transport(mCounters);
    private final EventLoop mLoop = mTransport.loop();
    private final Handlers mHandlers = new Handlers();
    private final List<Consumer<Member>> mChangeListeners = new CopyOnWriteArrayList<>();
    private final List<Consumer<Member>> mBeatListeners = new CopyOnWriteArrayList<>();
    private final Map<Incarnation, Session> mIncoming = new HashMap<>();
    private final SilenceLimits mSilence;
    private final Channel mListening;
    private final PeerIdentity mSelf;
    private final MemberTable mTable;
    private final Links mLinks;
    private final Asks mAsks;
    private final Inbox mInbox;
    private final HeartbeatSender mSender;
    private volatile List<Member> mMembers = List.of();
    private int mUnproved;

    private PeerNode(PeerLinkOptions options) throws PeerLinkException {
        mOptions = options;
        mKey = PeerKey.of(options.peers().key());
        mSilence = SilenceLimits.of(options.peers().silence());
        mListening = mTransport.listen(options.bind(), () -> new AcceptingHandshake(this));
        mSelf =
                new PeerIdentity(
                        options.node(),
                        options.incarnation(),
                        options.zone(),
                        (InetSocketAddress) mListening.localAddress(),
                        options.roles());
        Random random = new Random(options.incarnation().value());
        PeerLinkLimits limits = options.limits();
        mTable = new MemberTable(mSelf, mSilence);
        int tries = limits.connectsPerSecond();
        mLinks =
                new Links(
                        address -> mTransport.connect(address, () -> new ConnectingHandshake(this)),
                        mSilence,
                        new TryBudget(tries, tries, System.nanoTime()),
                        random);
        mAsks = new Asks(mLoop);
        HeartbeatPlan<Link> plan =
                new HeartbeatPlan<>(
                        options.peers().heartbeat(), limits.heartbeatBytesPerSecond(), random);
        mSender = new HeartbeatSender(mLoop, mTable, mLinks, mAsks, mCounters, plan, mSilence);
        mInbox =
                new Inbox(
                        mLoop,
                        mTable,
                        mHandlers,
                        mCounters,
                        limits.asksPerPeer(),
                        mSender::beat,
                        member -> mBeatListeners.forEach(l -> l.accept(member)));
    }

    /** Starts a link. */
    public static PeerLink start(PeerLinkOptions options) throws PeerLinkException {
        PeerNode node = new PeerNode(options);
        node.every(options.peers().heartbeat(), node::beat);
        node.every(MAINTAIN_EVERY, node::maintain);
        node.mListening.config().setAutoRead(true);
        return node;
    }

    @Override
    public PeerIdentity self() {
        return mSelf;
    }

    @Override
    public void learn(SeedSource source, Collection<Seed> seeds) {
        List<Seed> copy = List.copyOf(seeds);
        run(
                () -> {
                    mTable.learn(source, copy);
                    maintain();
                });
    }

    @Override
    public void report(StatePosition position) {
        run(() -> mSender.report(position));
    }

    @Override
    public void reportConfiguration(long version) {
        run(() -> mSender.reportConfiguration(version));
    }

    @Override
    public void report(LoadSummary load) {
        run(() -> mSender.report(load));
    }

    @Override
    public void execute(Runnable work) {
        run(work);
    }

    @Override
    public CompletionStage<Boolean> send(NodeId to, PeerMessage message) {
        CompletableFuture<Boolean> sent = new CompletableFuture<>();
        boolean runs =
                run(
                        () -> {
                            Optional<Session> session = sessionTo(to).filter(Session::isWritable);
                            session.ifPresent(s -> s.write(Messages.encode(message).build()));
                            sent.complete(session.isPresent());
                        });
        if (!runs) {
            sent.complete(false);
        }
        return sent;
    }

    @Override
    public CompletionStage<PeerMessage> ask(NodeId to, PeerMessage message, Duration timeout) {
        CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
        boolean runs =
                run(
                        () ->
                                sessionTo(to)
                                        .ifPresentOrElse(
                                                s -> mAsks.ask(s, message, timeout, answer),
                                                () -> fail(answer, to, "there is no connection")));
        if (!runs) {
            fail(answer, to, "this node leaves");
        }
        return answer;
    }

    @Override
    public <T extends PeerMessage> void handle(Class<T> kind, PeerHandler<T> handler) {
        mHandlers.put(kind, handler);
    }

    @Override
    public List<Member> members() {
        return mMembers;
    }

    @Override
    public Optional<Member> member(NodeId node) {
        return mMembers.stream()
                .filter(m -> m.node().equals(node))
                .min(Comparator.comparing(Member::state));
    }

    @Override
    public void onChange(Consumer<Member> listener) {
        mChangeListeners.add(listener);
    }

    @Override
    public void onHeartbeat(Consumer<Member> listener) {
        mBeatListeners.add(listener);
    }

    @Override
    public PeerCounts counts() {
        return mCounters.snapshot();
    }

    @Override
    public void close() {
        CompletableFuture<Void> said = new CompletableFuture<>();
        boolean runs =
                run(
                        () -> {
                            sayLeaving();
                            said.complete(null);
                        });
        if (runs) {
            // Stopping closes the channels before it runs what is queued: the word must be out.
            said.completeOnTimeout(null, LEAVE_MILLIS, TimeUnit.MILLISECONDS).join();
            mTransport.stop();
        }
    }

    @Override
    public PeerKey key() {
        return mKey;
    }

    @Override
    public PeerLinkLimits limits() {
        return mOptions.limits();
    }

    @Override
    public Counters counters() {
        return mCounters;
    }

    @Override
    public boolean admitUnproved() {
        if (mUnproved >= limits().maxUnproved()) {
            return false;
        }
        mUnproved++;
        return true;
    }

    @Override
    public void unprovedDone() {
        mUnproved--;
    }

    @Override
    public void opened(Session session) {
        long now = System.nanoTime();
        PeerIdentity peer = session.peer();
        if (session.isOutgoing()) {
            if (mLinks.opened(session, now)) {
                mTable.reached(peer, session.remote(), now);
            }
        } else if (mIncoming.size() >= MAX_INCOMING) {
            session.cut(CutReason.TOO_MANY);
        } else {
            Session older = mIncoming.put(peer.incarnation(), session);
            if (older != null) {
                older.cut(CutReason.SUPERSEDED);
            }
            mTable.met(peer, now);
            mLinks.hurry(peer, now);
        }
        publish();
    }

    @Override
    public void received(Session session, EnvelopeProto envelope) {
        long now = System.nanoTime();
        if (envelope.getAnswerTo() == 0) {
            mInbox.take(session, envelope, now);
        } else if (!mAsks.answered(session, envelope)) {
            mLinks.of(session)
                    .filter(link -> link.confirmed(envelope.getAnswerTo(), now))
                    .ifPresent(link -> heardFrom(session, envelope, now));
        }
        publish();
    }

    @Override
    public void closed(Session session) {
        mIncoming.remove(session.peer().incarnation(), session);
        mAsks.closed(session);
    }

    @Override
    public void every(Duration time, Runnable work) {
        long nanos = time.toNanos();
        mLoop.scheduleAtFixedRate(work, nanos, nanos, TimeUnit.NANOSECONDS);
    }

    private void beat() {
        mSender.send();
        publish();
    }

    private void heardFrom(Session session, EnvelopeProto envelope, long now) {
        long beat = envelope.getConfirmation().getBeat();
        mTable.heard(session.peer().incarnation(), beat, now);
    }

    private void maintain() {
        long now = System.nanoTime();
        mLinks.keep(mTable.addresses(), now);
        mLinks.maintain(now);
        for (Session session : List.copyOf(mIncoming.values())) {
            if (session.isSilentFor(IDLE_NANOS, now)) {
                session.cut(CutReason.SILENT);
            } else if (session.isBlockedFor(mSilence.awayNanos(), now)) {
                session.cut(CutReason.SLOW_READER);
            }
        }
    }

    private void publish() {
        List<Member> changes = mTable.takeChanges();
        mMembers = mTable.members();
        long now = System.nanoTime();
        for (Member member : changes) {
            if (member.state() == MemberState.ALIVE) {
                mLinks.hurry(member.identity(), now);
            }
            mChangeListeners.forEach(listener -> listener.accept(member));
        }
    }

    private Optional<Session> sessionTo(NodeId node) {
        return mTable.find(node).flatMap(member -> mLinks.to(member.incarnation()));
    }

    private static void fail(CompletableFuture<PeerMessage> answer, NodeId to, String why) {
        answer.completeExceptionally(new PeerException(to, PeerFailure.NOT_SENT, why));
    }

    /** Runs work on the link's thread; false when the link is closed. */
    private boolean run(Runnable work) {
        try {
            mLoop.execute(work);
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    private void sayLeaving() {
        EnvelopeProto leaving =
                EnvelopeProto.newBuilder().setLeaving(LeavingProto.getDefaultInstance()).build();
        Set<Link> open = mLinks.open();
        open.forEach(link -> link.session().ifPresent(session -> session.write(leaving)));
    }
}
