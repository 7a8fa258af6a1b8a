package org.foxtailplank.internal.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.request.BackendServer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class RouterTest {

    private static final long MS = 1_000_000L;
    private static final ServiceId SERVICE = ServiceId.of("claims");
    private static final ConnectionShare SHARE = new ConnectionShare(6, 2);

    private Router mRouter;
    private long mNow;

    @BeforeMethod
    public void start() {
        mRouter = new Router(ZoneId.of("z1"), MS, new SplittableRandom(7));
        mNow = 1;
    }

    @Test
    public void prefersTheEntrysZone() {
        list(server("near", "z1"), server("far", "z2"));
        for (int i = 0; i < 5; i++) {
            assertEquals(runAttempt(AttemptOutcome.SUCCESS, 20 * MS), "near");
        }
    }

    @Test
    public void spillsOverWhenTheZoneIsFull() {
        list(server("near", "z1"), server("far", "z2"));
        for (int i = 0; i < SHARE.sameZone(); i++) {
            choose().attemptStarted();
        }
        assertEquals(name(choose()), "far");
    }

    @Test
    public void choosesNoInstanceBeyondItsConnectionShare() {
        list(server("near", "z1"));
        for (int i = 0; i < SHARE.sameZone(); i++) {
            choose().attemptStarted();
        }
        assertFalse(mRouter.choose(SERVICE, Set.of()).isPresent());
    }

    @Test
    public void neverChoosesAnInstanceThatWasTried() {
        list(server("a", "z1"), server("b", "z1"));
        for (int i = 0; i < 20; i++) {
            Optional<Target> t = mRouter.choose(SERVICE, Set.of(VmId.of("a")));
            assertEquals(t.map(RouterTest::name), Optional.of("b"));
        }
    }

    /** Guards against an instance that fails fast, appears idle and attracts most requests. */
    @Test
    public void doesNotPreferAnInstanceThatFailsFast() {
        list(server("bad", "z1"), server("good", "z1"));
        int bad = 0;
        for (int i = 0; i < 1000; i++) {
            Target t = choose();
            t.attemptStarted();
            boolean isBad = name(t).equals("bad");
            bad += isBad ? 1 : 0;
            mNow += isBad ? MS / 10 : 20 * MS;
            t.attemptEnded(
                    isBad ? AttemptOutcome.SERVER_ERROR : AttemptOutcome.SUCCESS,
                    isBad ? MS / 10 : 20 * MS,
                    mNow);
            mRouter.endDueEjections(mNow);
        }
        assertTrue(bad < 50, "requests sent to the failing instance: " + bad);
    }

    @Test
    public void sendsOneTrialRequestAfterAnEjection() {
        list(server("a", "z1"), server("b", "z1"));
        Target a = target("a");
        fail(a);
        assertTrue(a.isEjected());
        assertEquals(name(choose()), "b");
        mNow += 1000 * MS;
        mRouter.endDueEjections(mNow);
        assertFalse(a.isEjected());
        a.attemptStarted();
        assertFalse(a.isAvailable(), "a second request during the trial");
        a.attemptEnded(AttemptOutcome.SUCCESS, 20 * MS, mNow);
        a.attemptStarted();
        assertTrue(a.isAvailable());
    }

    @Test
    public void sendsNothingToADrainingInstanceAlthoughItIsListed() {
        list(server("a", "z1"));
        target("a").updateHealth(Health.LEAVING);
        list(server("a", "z1"));
        assertFalse(mRouter.choose(SERVICE, Set.of()).isPresent());
        assertFalse(mRouter.hasServingInstance(SERVICE));
    }

    /**
     * Guards against an entry that rejects all requests after a pause or network fault of its own.
     */
    @Test
    public void usesUnresponsiveInstancesWhenAllAreUnresponsive() {
        list(server("a", "z1"), server("b", "z1"));
        target("a").updateHealth(Health.SILENT);
        assertEquals(name(choose()), "b");
        target("b").updateHealth(Health.SILENT);
        assertTrue(mRouter.choose(SERVICE, Set.of()).isPresent());
    }

    @Test
    public void adjustsTheWindowToTheReportedLoad() {
        list(server("a", "z1"));
        Target a = target("a");
        for (int i = 0; i < 6; i++) {
            a.updateLoad(40, 8);
        }
        a.attemptStarted();
        assertFalse(a.isAvailable(), "a second request at a time");
        a.updateLoad(2, 8);
        assertTrue(a.isAvailable());
    }

    @Test
    public void reservesTheNextFreeConnectionForAProbe() {
        list(server("a", "z1"));
        Target a = target("a");
        for (int i = 0; i < SHARE.sameZone(); i++) {
            choose().attemptStarted();
        }
        a.reserveForProbe(true);
        a.attemptEnded(AttemptOutcome.SUCCESS, 20 * MS, mNow);
        assertFalse(mRouter.choose(SERVICE, Set.of()).isPresent());
        a.reserveForProbe(false);
        assertTrue(mRouter.choose(SERVICE, Set.of()).isPresent());
    }

    @Test
    public void treatsAnInstanceWithAnotherAddressAsNew() {
        list(server("a", "z1"));
        fail(target("a"));
        list(new BackendServer(VmId.of("a"), SERVICE, ZoneId.of("z1"), address(2)));
        assertFalse(target("a").isEjected());
        assertEquals(name(choose()), "a");
    }

    private void fail(Target t) {
        for (int i = 0; i < 5; i++) {
            t.attemptStarted();
        }
        for (int i = 0; i < 5; i++) {
            t.attemptEnded(AttemptOutcome.SERVER_ERROR, MS, mNow);
        }
    }

    private String runAttempt(AttemptOutcome outcome, long nanos) {
        Target t = choose();
        t.attemptStarted();
        mNow += nanos;
        t.attemptEnded(outcome, nanos, mNow);
        return name(t);
    }

    private Target choose() {
        return mRouter.choose(SERVICE, Set.of()).orElseThrow();
    }

    private Target target(String vm) {
        return mRouter.targets().stream().filter(t -> name(t).equals(vm)).findAny().orElseThrow();
    }

    private void list(BackendServer... servers) {
        List<BackendServer> list = new ArrayList<>(List.of(servers));
        mRouter.updateInstances(list, s -> SHARE);
    }

    private static BackendServer server(String vm, String zone) {
        return new BackendServer(VmId.of(vm), SERVICE, ZoneId.of(zone), address(1));
    }

    private static InetSocketAddress address(int port) {
        return new InetSocketAddress("127.0.0.1", port);
    }

    private static String name(Target t) {
        return t.server().vm().value();
    }
}
