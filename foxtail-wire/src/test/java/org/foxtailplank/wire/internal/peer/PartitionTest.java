package org.foxtailplank.wire.internal.peer;

import static org.foxtailplank.wire.PeerNodes.await;
import static org.foxtailplank.wire.PeerNodes.awaitSees;
import static org.foxtailplank.wire.PeerNodes.sees;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.membership.MemberState;
import org.foxtailplank.membership.Seed;
import org.foxtailplank.membership.SeedSource;
import org.foxtailplank.wire.AnswerLookup;
import org.foxtailplank.wire.AnswerLookupResult;
import org.foxtailplank.wire.DisconnectReason;
import org.foxtailplank.wire.PausableProxy;
import org.foxtailplank.wire.PeerLink;
import org.foxtailplank.wire.PeerLinkException;
import org.foxtailplank.wire.PeerLinkLimits;
import org.foxtailplank.wire.PeerNodes;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PartitionTest {

    private static final AnswerLookup LOOKUP =
            new AnswerLookup(ServiceId.of("claims"), "k1", ByteString.EMPTY);

    private final List<PausableProxy> mProxies = new ArrayList<>();
    private PeerNodes mNodes;

    @BeforeMethod
    public void open() {
        mNodes = new PeerNodes();
    }

    @AfterMethod
    public void close() {
        mNodes.close();
        mProxies.forEach(PausableProxy::close);
        mProxies.clear();
    }

    /** A node whose messages to one peer are lost must stay alive there through other nodes. */
    @Test
    public void aNodeUnreachableFromOnePeerStaysAliveThroughOthers() throws Exception {
        PeerLink a = mNodes.start("a");
        PeerLink b = mNodes.start("b");
        PeerLink c = mNodes.start("c");
        PausableProxy toB = proxy(b);
        PausableProxy toA = proxy(a);
        learnSeeds(a, seed(b, toB), seed(c));
        learnSeeds(b, seed(a, toA), seed(c));
        learnSeeds(c, seed(a), seed(b));
        awaitSees(a, b, MemberState.ALIVE);
        awaitSees(b, a, MemberState.ALIVE);
        awaitSees(c, a, MemberState.ALIVE);
        AtomicBoolean away = new AtomicBoolean();
        b.onChange(
                m -> {
                    boolean isA = m.incarnation().equals(a.self().incarnation());
                    if (isA && m.state() == MemberState.AWAY) {
                        away.set(true);
                    }
                });
        toB.pauseForward(true);
        toA.pauseBackward(true);
        long disconnects = a.counts().disconnects(DisconnectReason.SILENT);
        await(
                "a closes the unconfirmed connection",
                () -> a.counts().disconnects(DisconnectReason.SILENT) > disconnects);
        long received = c.counts().messagesIn();
        await("more heartbeats", () -> c.counts().messagesIn() > received + 100);
        assertFalse(away.get(), "b must not see a as away");
        assertTrue(sees(b, a, MemberState.ALIVE));
        toB.pauseForward(false);
        toA.pauseBackward(false);
        awaitAnswer(a, b);
    }

    /** Reconnecting after a partition must not exceed the connect limit. */
    @Test
    public void aHealedPartitionReconnectsWithinTheConnectLimit() throws Exception {
        List<PeerLink> near = List.of(mNodes.start("a1"), mNodes.start("a2"), mNodes.start("a3"));
        List<PeerLink> far = List.of(mNodes.start("b1"), mNodes.start("b2"), mNodes.start("b3"));
        learnSeedsAcross(near, far);
        learnSeedsAcross(far, near);
        awaitAll(near, far, MemberState.ALIVE);
        awaitAll(far, near, MemberState.ALIVE);
        long before = connects(near);
        long partitionedAt = System.nanoTime();
        pause(true);
        awaitAll(near, far, MemberState.AWAY);
        awaitAll(far, near, MemberState.AWAY);
        await("all connections to the far zone are closed", () -> isDisconnected(near, far));
        await("all connections to the near zone are closed", () -> isDisconnected(far, near));
        assertTrue(near.stream().allMatch(a -> near.stream().allMatch(o -> isSelfOrAlive(a, o))));
        pause(false);
        long healedAt = System.nanoTime();
        awaitAll(near, far, MemberState.ALIVE);
        awaitAll(far, near, MemberState.ALIVE);
        long aliveAt = System.nanoTime();
        awaitAnswer(near.get(0), far.get(0));
        double seconds = (System.nanoTime() - partitionedAt) / 1e9;
        long attempts = connects(near) - before;
        System.out.printf(
                "partition of %.1f s healed: alive after %d ms, answers after %d ms, %d connects%n",
                (healedAt - partitionedAt) / 1e9,
                Duration.ofNanos(aliveAt - healedAt).toMillis(),
                Duration.ofNanos(System.nanoTime() - healedAt).toMillis(),
                attempts);
        assertTrue(attempts > 0);
        int perSecond = PeerLinkLimits.defaults().connectsPerSecond();
        assertTrue(
                attempts <= near.size() * perSecond * (seconds + 1),
                attempts + " connections tried in " + seconds + " s");
    }

    private void learnSeedsAcross(List<PeerLink> own, List<PeerLink> others) {
        for (PeerLink link : own) {
            List<Seed> seeds = new ArrayList<>();
            own.forEach(o -> seeds.add(seed(o)));
            others.forEach(o -> seeds.add(seed(o, proxy(o))));
            learnSeeds(link, seeds.toArray(Seed[]::new));
        }
    }

    private static void awaitAll(List<PeerLink> own, List<PeerLink> others, MemberState state) {
        own.forEach(link -> others.forEach(other -> awaitSees(link, other, state)));
    }

    private static boolean isSelfOrAlive(PeerLink link, PeerLink other) {
        return link == other || sees(link, other, MemberState.ALIVE);
    }

    private void pause(boolean paused) {
        for (PausableProxy proxy : mProxies) {
            proxy.pauseForward(paused);
            proxy.pauseBackward(paused);
        }
    }

    /** Returns whether none of the first links can send to any of the second ones. */
    private static boolean isDisconnected(List<PeerLink> own, List<PeerLink> others) {
        return own.stream().allMatch(o -> others.stream().noneMatch(other -> canSend(o, other)));
    }

    private static boolean canSend(PeerLink from, PeerLink to) {
        return from.send(to.self().node(), LOOKUP).toCompletableFuture().join();
    }

    private static long connects(List<PeerLink> links) {
        return links.stream().mapToLong(link -> link.counts().connects()).sum();
    }

    private static void awaitAnswer(PeerLink from, PeerLink to) throws PeerLinkException {
        to.handle(
                AnswerLookup.class,
                (sender, lookup) ->
                        CompletableFuture.completedFuture(
                                AnswerLookupResult.without(AnswerLookupResult.State.RUNNING)));
        await("an answer", () -> answers(from, to));
        assertEquals(from.member(to.self().node()).orElseThrow().state(), MemberState.ALIVE);
    }

    private static boolean answers(PeerLink from, PeerLink to) {
        return from.ask(to.self().node(), LOOKUP, Duration.ofSeconds(1))
                .handle((answer, error) -> error == null)
                .toCompletableFuture()
                .join();
    }

    private PausableProxy proxy(PeerLink to) {
        PausableProxy proxy = new PausableProxy(to.self().address());
        mProxies.add(proxy);
        return proxy;
    }

    private static Seed seed(PeerLink to) {
        return new Seed(to.self().node(), to.self().address());
    }

    private static Seed seed(PeerLink to, PausableProxy proxy) {
        return new Seed(to.self().node(), proxy.address());
    }

    private static void learnSeeds(PeerLink link, Seed... seeds) {
        link.setSeeds(SeedSource.SETTINGS, List.of(seeds));
    }
}
