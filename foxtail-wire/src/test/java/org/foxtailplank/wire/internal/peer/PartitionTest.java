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
import org.foxtailplank.wire.CutReason;
import org.foxtailplank.wire.HoldingProxy;
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

    private final List<HoldingProxy> mProxies = new ArrayList<>();
    private PeerNodes mNodes;

    @BeforeMethod
    public void open() {
        mNodes = new PeerNodes();
    }

    @AfterMethod
    public void close() {
        mNodes.close();
        mProxies.forEach(HoldingProxy::close);
        mProxies.clear();
    }

    /**
     * An entry would be given up that is there. What it sends to one peer is lost, while it hears
     * that peer and talks to all others; the peer hears of it through them.
     */
    @Test
    public void aNodeThatOnePeerCannotHearStaysAMemberThroughOthers() throws Exception {
        PeerLink a = mNodes.start("a");
        PeerLink b = mNodes.start("b");
        PeerLink c = mNodes.start("c");
        HoldingProxy toB = proxy(b);
        HoldingProxy toA = proxy(a);
        meet(a, seed(b, toB), seed(c));
        meet(b, seed(a, toA), seed(c));
        meet(c, seed(a), seed(b));
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
        toB.holdForward(true);
        toA.holdBack(true);
        long cuts = a.counts().cuts(CutReason.SILENT);
        await(
                "a gives up the connection that is never confirmed",
                () -> a.counts().cuts(CutReason.SILENT) > cuts);
        long heard = c.counts().messagesIn();
        await("more heartbeats", () -> c.counts().messagesIn() > heard + 100);
        assertFalse(away.get(), "b gave a up");
        assertTrue(sees(b, a, MemberState.ALIVE));
        toB.holdForward(false);
        toA.holdBack(false);
        awaitAnswer(a, b);
    }

    /**
     * Callers would see errors for long after a partition, or all nodes would be busy with each
     * other. Two zones lose each other, each sees the other one away; then the partition heals.
     */
    @Test
    public void aPartitionHealsWithoutAStormOfConnections() throws Exception {
        List<PeerLink> near = List.of(mNodes.start("a1"), mNodes.start("a2"), mNodes.start("a3"));
        List<PeerLink> far = List.of(mNodes.start("b1"), mNodes.start("b2"), mNodes.start("b3"));
        meetAcross(near, far);
        meetAcross(far, near);
        awaitAll(near, far, MemberState.ALIVE);
        awaitAll(far, near, MemberState.ALIVE);
        long before = connects(near);
        long cutAt = System.nanoTime();
        hold(true);
        awaitAll(near, far, MemberState.AWAY);
        awaitAll(far, near, MemberState.AWAY);
        await("every connection across is given up", () -> givenUp(near, far));
        await("and from the other side", () -> givenUp(far, near));
        assertTrue(near.stream().allMatch(a -> near.stream().allMatch(o -> isSelfOrAlive(a, o))));
        hold(false);
        long healedAt = System.nanoTime();
        awaitAll(near, far, MemberState.ALIVE);
        awaitAll(far, near, MemberState.ALIVE);
        long seenAt = System.nanoTime();
        awaitAnswer(near.get(0), far.get(0));
        double seconds = (System.nanoTime() - cutAt) / 1e9;
        long tried = connects(near) - before;
        System.out.printf(
                "partition of %.1f s healed: alive after %d ms, asks after %d ms, %d connects%n",
                (healedAt - cutAt) / 1e9,
                Duration.ofNanos(seenAt - healedAt).toMillis(),
                Duration.ofNanos(System.nanoTime() - healedAt).toMillis(),
                tried);
        assertTrue(tried > 0);
        int perSecond = PeerLinkLimits.usual().connectsPerSecond();
        assertTrue(
                tried <= near.size() * perSecond * (seconds + 1),
                tried + " connections tried in " + seconds + " s");
    }

    private void meetAcross(List<PeerLink> own, List<PeerLink> others) {
        for (PeerLink link : own) {
            List<Seed> seeds = new ArrayList<>();
            own.forEach(o -> seeds.add(seed(o)));
            others.forEach(o -> seeds.add(seed(o, proxy(o))));
            meet(link, seeds.toArray(Seed[]::new));
        }
    }

    private static void awaitAll(List<PeerLink> own, List<PeerLink> others, MemberState state) {
        own.forEach(link -> others.forEach(other -> awaitSees(link, other, state)));
    }

    private static boolean isSelfOrAlive(PeerLink link, PeerLink other) {
        return link == other || sees(link, other, MemberState.ALIVE);
    }

    private void hold(boolean hold) {
        for (HoldingProxy proxy : mProxies) {
            proxy.holdForward(hold);
            proxy.holdBack(hold);
        }
    }

    /** Whether nothing can be sent from any of these to any of those. */
    private static boolean givenUp(List<PeerLink> own, List<PeerLink> others) {
        return own.stream().allMatch(o -> others.stream().noneMatch(other -> sends(o, other)));
    }

    private static boolean sends(PeerLink from, PeerLink to) {
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

    private HoldingProxy proxy(PeerLink to) {
        HoldingProxy proxy = new HoldingProxy(to.self().address());
        mProxies.add(proxy);
        return proxy;
    }

    private static Seed seed(PeerLink to) {
        return new Seed(to.self().node(), to.self().address());
    }

    private static Seed seed(PeerLink to, HoldingProxy proxy) {
        return new Seed(to.self().node(), proxy.address());
    }

    private static void meet(PeerLink link, Seed... seeds) {
        link.learn(SeedSource.SETTINGS, List.of(seeds));
    }
}
