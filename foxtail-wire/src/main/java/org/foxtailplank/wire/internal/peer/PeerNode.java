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
import org.foxtailplank.internal.membership.ConnectRateLimiter;
import org.foxtailplank.internal.membership.HeartbeatPlan;
import org.foxtailplank.internal.membership.MemberTable;
import org.foxtailplank.internal.membership.SilenceLimits;
import org.foxtailplank.membership.Incarnation;
import org.foxtailplank.membership.LoadSummary;
import org.foxtailplank.membership.Member;
import org.foxtailplank.membership.MemberState;
import org.foxtailplank.membership.PeerIdentity;
import org.foxtailplank.membership.Seed;
import org.foxtailplank.membership.SeedSource;
import org.foxtailplank.state.StatePosition;
import org.foxtailplank.wire.DisconnectReason;
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

/** Peer link of one node; its fields are confined to the transport's thread unless thread-safe. */
public final class PeerNode implements PeerLink, SessionOwner {

    private static final Duration MAINTENANCE_INTERVAL = Duration.ofMillis(100);
    private static final int MAX_INCOMING = 1_024;

    /** Must exceed the heartbeat rotation over all peers of a large system. */
    private static final long IDLE_TIMEOUT_NANOS = Duration.ofMinutes(5).toNanos();

    private static final long LEAVE_TIMEOUT_MILLIS = 200;

    private final PeerLinkOptions mOptions;
    private final PeerKey mKey;
    private final Counters mCounters = new Counters();
    private final Transport mTransport = new Transport(mCounters);
    private final EventLoop mLoop = mTransport.loop();
    private final Handlers mHandlers = new Handlers();
    private final List<Consumer<Member>> mChangeListeners = new CopyOnWriteArrayList<>();
    private final List<Consumer<Member>> mHeartbeatListeners = new CopyOnWriteArrayList<>();
    private final Map<Incarnation, Session> mIncoming = new HashMap<>();
    private final SilenceLimits mSilenceLimits;
    private final Channel mServerChannel;
    private final PeerIdentity mSelf;
    private final MemberTable mTable;
    private final OutgoingLinks mLinks;
    private final OutstandingRequests mOutstandingRequests;
    private final MessageDispatcher mDispatcher;
    private final HeartbeatSender mHeartbeatSender;
    private volatile List<Member> mMembers = List.of();
    private int mUnauthenticated;

    private PeerNode(PeerLinkOptions options) throws PeerLinkException {
        mOptions = options;
        mKey = PeerKey.of(options.peers().key());
        mSilenceLimits = SilenceLimits.of(options.peers().silence());
        mServerChannel = mTransport.listen(options.bind(), () -> new AcceptingHandshake(this));
        mSelf =
                new PeerIdentity(
                        options.node(),
                        options.incarnation(),
                        options.zone(),
                        (InetSocketAddress) mServerChannel.localAddress(),
                        options.roles());
        Random random = new Random(options.incarnation().value());
        PeerLinkLimits limits = options.limits();
        mTable = new MemberTable(mSelf, mSilenceLimits);
        int connectsPerSecond = limits.connectsPerSecond();
        mLinks =
                new OutgoingLinks(
                        address -> mTransport.connect(address, () -> new ConnectingHandshake(this)),
                        mSilenceLimits,
                        new ConnectRateLimiter(
                                connectsPerSecond, connectsPerSecond, System.nanoTime()),
                        random);
        mOutstandingRequests = new OutstandingRequests(mLoop);
        HeartbeatPlan<OutgoingLink> plan =
                new HeartbeatPlan<>(
                        options.peers().heartbeat(), limits.heartbeatBytesPerSecond(), random);
        mHeartbeatSender =
                new HeartbeatSender(
                        mLoop,
                        mTable,
                        mLinks,
                        mOutstandingRequests,
                        mCounters,
                        plan,
                        mSilenceLimits);
        mDispatcher =
                new MessageDispatcher(
                        mLoop,
                        mTable,
                        mHandlers,
                        mCounters,
                        limits.maxRequestsPerPeer(),
                        mHeartbeatSender::lastNumber,
                        member -> mHeartbeatListeners.forEach(l -> l.accept(member)));
    }

    /** Starts a peer link. */
    public static PeerLink start(PeerLinkOptions options) throws PeerLinkException {
        PeerNode node = new PeerNode(options);
        node.every(options.peers().heartbeat(), node::sendHeartbeats);
        node.every(MAINTENANCE_INTERVAL, node::maintain);
        node.mServerChannel.config().setAutoRead(true);
        return node;
    }

    @Override
    public PeerIdentity self() {
        return mSelf;
    }

    @Override
    public void setSeeds(SeedSource source, Collection<Seed> seeds) {
        List<Seed> copy = List.copyOf(seeds);
        run(
                () -> {
                    mTable.setSeeds(source, copy);
                    maintain();
                });
    }

    @Override
    public void report(StatePosition position) {
        run(() -> mHeartbeatSender.report(position));
    }

    @Override
    public void reportConfiguration(long version) {
        run(() -> mHeartbeatSender.reportConfiguration(version));
    }

    @Override
    public void report(LoadSummary load) {
        run(() -> mHeartbeatSender.report(load));
    }

    @Override
    public void execute(Runnable task) {
        run(task);
    }

    @Override
    public CompletionStage<Boolean> send(NodeId to, PeerMessage message) {
        CompletableFuture<Boolean> sent = new CompletableFuture<>();
        boolean accepted =
                run(
                        () -> {
                            Optional<Session> session = sessionTo(to).filter(Session::isWritable);
                            session.ifPresent(s -> s.write(Messages.encode(message).build()));
                            sent.complete(session.isPresent());
                        });
        if (!accepted) {
            sent.complete(false);
        }
        return sent;
    }

    @Override
    public CompletionStage<PeerMessage> ask(NodeId to, PeerMessage message, Duration timeout) {
        CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
        boolean accepted =
                run(
                        () ->
                                sessionTo(to)
                                        .ifPresentOrElse(
                                                s ->
                                                        mOutstandingRequests.send(
                                                                s, message, timeout, answer),
                                                () -> fail(answer, to, "not connected")));
        if (!accepted) {
            fail(answer, to, "the peer link is closed");
        }
        return answer;
    }

    @Override
    public <T extends PeerMessage> void handle(Class<T> kind, PeerHandler<T> handler) {
        mHandlers.register(kind, handler);
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
        mHeartbeatListeners.add(listener);
    }

    @Override
    public PeerCounts counts() {
        return mCounters.snapshot();
    }

    @Override
    public void close() {
        CompletableFuture<Void> announced = new CompletableFuture<>();
        boolean accepted =
                run(
                        () -> {
                            announceLeave();
                            announced.complete(null);
                        });
        if (accepted) {
            // The transport closes its channels before it runs queued tasks.
            announced.completeOnTimeout(null, LEAVE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).join();
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
    public boolean tryAdmitUnauthenticated() {
        if (mUnauthenticated >= limits().maxUnauthenticated()) {
            return false;
        }
        mUnauthenticated++;
        return true;
    }

    @Override
    public void releaseUnauthenticated() {
        mUnauthenticated--;
    }

    @Override
    public void onOpened(Session session) {
        long now = System.nanoTime();
        PeerIdentity peer = session.peer();
        if (session.isOutgoing()) {
            if (mLinks.onOpened(session, now)) {
                mTable.authenticatedAt(peer, session.remote(), now);
            }
        } else if (mIncoming.size() >= MAX_INCOMING) {
            session.disconnect(DisconnectReason.TOO_MANY_CONNECTIONS);
        } else {
            Session older = mIncoming.put(peer.incarnation(), session);
            if (older != null) {
                older.disconnect(DisconnectReason.SUPERSEDED);
            }
            mTable.authenticated(peer, now);
            mLinks.retrySoon(peer, now);
        }
        publish();
    }

    @Override
    public void onReceived(Session session, EnvelopeProto envelope) {
        long now = System.nanoTime();
        if (envelope.getAnswerTo() == 0) {
            mDispatcher.dispatch(session, envelope, now);
        } else if (!mOutstandingRequests.onAnswer(session, envelope)) {
            mLinks.find(session)
                    .filter(link -> link.onConfirmation(envelope.getAnswerTo(), now))
                    .ifPresent(link -> onConfirmation(session, envelope, now));
        }
        publish();
    }

    @Override
    public void onClosed(Session session) {
        mIncoming.remove(session.peer().incarnation(), session);
        mOutstandingRequests.onClosed(session);
    }

    @Override
    public void every(Duration interval, Runnable task) {
        long nanos = interval.toNanos();
        mLoop.scheduleAtFixedRate(task, nanos, nanos, TimeUnit.NANOSECONDS);
    }

    private void sendHeartbeats() {
        mHeartbeatSender.send();
        publish();
    }

    private void onConfirmation(Session session, EnvelopeProto envelope, long now) {
        long sequence = envelope.getConfirmation().getBeat();
        mTable.heartbeatReceived(session.peer().incarnation(), sequence, now);
    }

    private void maintain() {
        long now = System.nanoTime();
        mLinks.retain(mTable.addresses(), now);
        mLinks.maintain(now);
        for (Session session : List.copyOf(mIncoming.values())) {
            if (session.isSilentFor(IDLE_TIMEOUT_NANOS, now)) {
                session.disconnect(DisconnectReason.SILENT);
            } else if (session.isBlockedFor(mSilenceLimits.awayNanos(), now)) {
                session.disconnect(DisconnectReason.SLOW_READER);
            }
        }
    }

    private void publish() {
        List<Member> changes = mTable.drainChanges();
        mMembers = mTable.members();
        long now = System.nanoTime();
        for (Member member : changes) {
            if (member.state() == MemberState.ALIVE) {
                mLinks.retrySoon(member.identity(), now);
            }
            mChangeListeners.forEach(listener -> listener.accept(member));
        }
    }

    private Optional<Session> sessionTo(NodeId node) {
        return mTable.find(node).flatMap(member -> mLinks.sessionTo(member.incarnation()));
    }

    private static void fail(CompletableFuture<PeerMessage> answer, NodeId to, String reason) {
        answer.completeExceptionally(new PeerException(to, PeerFailure.NOT_SENT, reason));
    }

    /** Runs a task on the link's thread; false if the link is closed. */
    private boolean run(Runnable task) {
        try {
            mLoop.execute(task);
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    private void announceLeave() {
        EnvelopeProto leaving =
                EnvelopeProto.newBuilder().setLeaving(LeavingProto.getDefaultInstance()).build();
        Set<OutgoingLink> open = mLinks.open();
        open.forEach(link -> link.session().ifPresent(session -> session.write(leaving)));
    }
}
