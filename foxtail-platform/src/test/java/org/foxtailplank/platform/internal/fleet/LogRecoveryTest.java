package org.foxtailplank.platform.internal.fleet;

import static org.foxtailplank.platform.internal.fleet.FleetNodes.await;
import static org.foxtailplank.platform.internal.fleet.FleetNodes.awaitMode;
import static org.foxtailplank.platform.internal.fleet.FleetNodes.awaitPosition;
import static org.foxtailplank.platform.internal.fleet.FleetNodes.baseAt;
import static org.foxtailplank.platform.internal.fleet.FleetNodes.get;
import static org.foxtailplank.platform.internal.fleet.FleetNodes.quotaAt;
import static org.foxtailplank.platform.internal.fleet.FleetNodes.versionAt;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.foxtailplank.platform.FollowMode;
import org.foxtailplank.platform.StoredEntry;
import org.foxtailplank.state.StatePosition;
import org.foxtailplank.state.Verdict;
import org.foxtailplank.state.VoidReason;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Starting, and going on after the log lost or expired records. */
public class LogRecoveryTest {
    private static final String FLEET = LogFollower.STREAM;
    private MemoryPlatformLog mLog;
    private FleetNodes mNodes;

    @BeforeMethod
    public void start() {
        mLog = new MemoryPlatformLog();
        mNodes = new FleetNodes();
    }

    @AfterMethod
    public void stop() {
        mNodes.closeAll();
    }

    @Test
    public void startsFromASnapshotWhenOlderRecordsHaveExpired() throws Exception {
        FollowedFleetLog a = mNodes.follow(mLog);
        mNodes.write(a, mNodes.publish("{}", 0), mNodes.quota(0.2));
        mNodes.store(mLog, a);
        mNodes.write(a, mNodes.quota(0.3));
        mLog.expire(FLEET, 3);
        FollowedFleetLog b = mNodes.follow(mLog);
        awaitPosition(b, a.position());
        assertEquals(b.position(), a.position());
        assertEquals(baseAt(b), "{}");
        assertEquals(quotaAt(b), 0.3);
    }

    /**
     * Every record of the log has expired and no snapshot is stored. A new node must not start with
     * an empty configuration; it takes the state of a peer.
     */
    @Test
    public void waitsForAPeerWhenRecordsExpiredWithoutASnapshot() throws Exception {
        FollowedFleetLog a = mNodes.follow(mLog);
        mNodes.write(a, mNodes.publish("{}", 0), mNodes.quota(0.2));
        mLog.expire(FLEET, 3);
        FollowedFleetLog b = mNodes.follow(mLog);
        awaitMode(b, FollowMode.BEHIND);
        assertTrue(get(b.offerState(get(a.encodedState()).orElseThrow())));
        awaitMode(b, FollowMode.FOLLOWING);
        mNodes.write(b, mNodes.quota(0.4));
        awaitPosition(a, b.position());
        assertEquals(quotaAt(a), 0.4);
    }

    @Test
    public void startsFromAPeerWhileThePlatformIsAway() throws Exception {
        FollowedFleetLog a = mNodes.follow(mLog);
        mNodes.write(a, mNodes.publish("{}", 0));
        mLog.away(true);
        FollowedFleetLog b = mNodes.follow(mLog);
        assertTrue(get(b.offerState(get(a.encodedState()).orElseThrow())));
        assertEquals(baseAt(b), "{}");
        mLog.away(false);
        mNodes.write(b, mNodes.quota(0.4));
        awaitPosition(a, b.position());
        assertEquals(quotaAt(a), 0.4);
    }

    @Test
    public void knowsNothingWhileThePlatformIsAwayAndNoPeerAnswers() throws Exception {
        mLog.away(true);
        FollowedFleetLog b = mNodes.follow(mLog);
        assertEquals(b.mode(), FollowMode.STARTING);
        assertEquals(b.position(), StatePosition.NOTHING);
    }

    /**
     * A zone is cut off from the platform but not from its peers. A change that was accepted must
     * be in force there as well; the peer hands on the few entries that are new.
     */
    @Test
    public void followsByAPeersEntriesWhileCutOffFromThePlatform() throws Exception {
        FollowedFleetLog a = mNodes.follow(new SidePath(mLog));
        FollowedFleetLog cutOff = mNodes.follow(mLog);
        mNodes.write(a, mNodes.publish("{}", 0));
        awaitPosition(cutOff, a.position());
        mLog.away(true);
        StatePosition before = cutOff.position();
        mNodes.write(a, mNodes.quota(0.2), mNodes.publish("{ }", 1));
        List<StoredEntry> entries = get(a.entriesAfter(before, 10_000));
        assertTrue(get(cutOff.offerEntries(before, entries)));
        assertEquals(cutOff.position(), a.position());
        assertEquals(baseAt(cutOff), "{ }");
        assertFalse(get(cutOff.offerEntries(before, entries)), "they are known already");
        mLog.away(false);
        mNodes.write(cutOff, mNodes.quota(0.3));
        awaitPosition(a, cutOff.position());
        assertEquals(quotaAt(a), 0.3);
    }

    /**
     * The platform comes back with an empty log. To a new node it looks like a first start; the old
     * configuration would be gone as soon as somebody publishes. A node that knows it restores it.
     */
    @Test
    public void restoresItsStateToALogThatCameBackEmpty() throws Exception {
        FollowedFleetLog a = mNodes.follow(mLog);
        mNodes.write(a, mNodes.publish("{}", 0), mNodes.quota(0.2), mNodes.publish("{ }", 1));
        long version = versionAt(a);
        mLog.cutOff(FLEET, 1);
        FollowedFleetLog fresh = mNodes.follow(mLog);
        await(() -> a.position().restorations() == 1, "a restoration");
        awaitPosition(fresh, a.position());
        assertEquals(baseAt(fresh), "{ }");
        assertEquals(versionAt(fresh), version);
        assertEquals(quotaAt(fresh), 0.2);
        mNodes.write(fresh, mNodes.publish("{\"a\":1}", version));
        awaitPosition(a, fresh.position());
        assertTrue(versionAt(a) > version);
        assertEquals(a.position(), fresh.position());
    }

    @Test
    public void restoresAShortenedLogOnceWhenAllNodesTry() throws Exception {
        FollowedFleetLog a = mNodes.follow(mLog);
        FollowedFleetLog b = mNodes.follow(mLog);
        FollowedFleetLog c = mNodes.follow(mLog);
        for (int i = 1; i < 9; i++) {
            mNodes.write(a, mNodes.quota(i / 10.0));
        }
        awaitPosition(b, a.position());
        awaitPosition(c, a.position());
        mLog.cutOff(FLEET, 4);
        for (FollowedFleetLog n : List.of(a, b, c)) {
            await(() -> n.position().restorations() == 1, "a restoration");
        }
        mNodes.write(b, mNodes.quota(0.95));
        FollowedFleetLog fresh = mNodes.follow(mLog);
        for (FollowedFleetLog n : List.of(a, c, fresh)) {
            awaitPosition(n, b.position());
            assertEquals(n.position().digest(), b.position().digest());
            assertEquals(quotaAt(n), 0.95);
        }
    }

    /**
     * One node had read the newest record before the log lost it, another one had not and restores
     * its older state first. What was accepted must not be lost: the first node writes it again.
     */
    @Test
    public void writesAgainWhatARestoredStateLacks() throws Exception {
        FollowedFleetLog a = mNodes.follow(mLog);
        mNodes.write(a, mNodes.publish("{}", 0));
        byte[] older = get(a.encodedState()).orElseThrow();
        mNodes.write(a, mNodes.quota(0.7));
        mLog.away(true);
        FollowedFleetLog behind = mNodes.follow(mLog);
        assertTrue(get(behind.offerState(older)));
        mLog.cutOff(FLEET, 1);
        mNodes.store(new MemoryPlatformLog(), behind);
        restoreBy(behind);
        mLog.away(false);
        awaitPosition(a, new StatePosition(1, 3, 0));
        awaitPosition(behind, new StatePosition(1, 3, 0));
        assertEquals(quotaAt(a), 0.7);
        assertEquals(quotaAt(behind), 0.7);
        assertEquals(baseAt(behind), "{}");
        assertEquals(a.position().digest(), behind.position().digest());
    }

    /**
     * A copy of the platform's log that lags answers for a moment. Nothing was lost, and nobody may
     * restore an older state over what stands in the log.
     */
    @Test
    public void leavesALogAloneThatWasShortForAMomentOnly() throws Exception {
        FollowedFleetLog a = mNodes.follow(mLog);
        mNodes.write(a, mNodes.quota(0.1), mNodes.quota(0.2), mNodes.quota(0.3));
        mLog.showEnd(2);
        awaitMode(a, FollowMode.RESTORING);
        mLog.showEnd(Long.MAX_VALUE);
        awaitMode(a, FollowMode.FOLLOWING);
        mNodes.write(a, mNodes.quota(0.4));
        FollowedFleetLog fresh = mNodes.follow(mLog);
        awaitPosition(fresh, a.position());
        assertEquals(a.position().restorations(), 0);
        assertEquals(quotaAt(fresh), 0.4);
    }

    @Test
    public void ignoresARestorationThatWasNotNeeded() throws Exception {
        FollowedFleetLog a = mNodes.follow(mLog);
        mNodes.write(a, mNodes.quota(0.1), mNodes.quota(0.2));
        restoreBy(a);
        mNodes.write(a, mNodes.quota(0.3));
        FollowedFleetLog fresh = mNodes.follow(mLog);
        awaitPosition(fresh, a.position());
        assertEquals(fresh.position(), a.position());
        assertEquals(a.position().restorations(), 0);
        assertEquals(quotaAt(fresh), 0.3);
    }

    /**
     * A node is cut off from the platform. Meanwhile the log loses records and grows beyond where
     * it stood before. Its next offset exists again, yet what stands there follows on another past.
     */
    @Test
    public void noticesALogThatLostRecordsAndGrewAgain() throws Exception {
        FollowedFleetLog a = mNodes.follow(mLog);
        mNodes.write(a, mNodes.publish("{}", 0), mNodes.quota(0.1));
        awaitPosition(a, new StatePosition(0, 3, 0));
        mLog.away(true);
        mLog.cutOff(FLEET, 2);
        FollowedFleetLog other = mNodes.follow(new SidePath(mLog));
        mNodes.write(other, mNodes.quota(0.5), mNodes.quota(0.6), mNodes.quota(0.8));
        mLog.away(false);
        await(() -> a.position().restorations() == 1, "a restoration");
        await(() -> other.position().restorations() == 1, "the other one to follow");
        awaitPosition(other, a.position());
        await(() -> same(a, other), "both in the same state");
        assertEquals(baseAt(other), "{}");
    }

    @Test
    public void refusesAPeersStateOfAnotherPast() throws Exception {
        FollowedFleetLog a = mNodes.follow(mLog);
        FollowedFleetLog other = mNodes.follow(new MemoryPlatformLog());
        mNodes.write(a, mNodes.quota(0.1));
        mNodes.write(other, mNodes.quota(0.2), mNodes.quota(0.3));
        assertFalse(get(a.offerState(get(other.encodedState()).orElseThrow())));
        assertEquals(quotaAt(a), 0.1);
    }

    @Test
    public void storesSnapshotsWellBeforeRecordsExpire() throws Exception {
        FollowedFleetLog a = mNodes.follow(mLog, Duration.ofMillis(400));
        mNodes.write(a, mNodes.quota(0.1));
        await(() -> mLog.end(SnapshotStore.STREAM) > 2, "two snapshots");
    }

    @Test
    public void refusesToWriteAboutWhatANewerNodeChanged() throws Exception {
        FollowedFleetLog a = mNodes.follow(mLog);
        mNodes.write(a, mNodes.quota(0.1));
        get(mLog.append(FLEET, List.of(NewerRecord.about(FleetNodes.TEAM))));
        awaitPosition(a, new StatePosition(0, 3, 0));
        int appends = mLog.appends();
        Verdict v = get(a.submit(mNodes.quota(0.2)));
        assertEquals(((Verdict.Void) v).reason(), VoidReason.NOT_UNDERSTOOD);
        assertEquals(mLog.appends(), appends);
        assertTrue(get(a.encodedState()).isEmpty(), "no snapshot of what is not understood");
    }

    private static boolean same(FollowedFleetLog a, FollowedFleetLog b) {
        return a.position().equals(b.position());
    }

    /** Appends a restoration of a node's state, as that node would. */
    private void restoreBy(FollowedFleetLog node) throws Exception {
        mLog.away(false);
        NewerRecord.restore(mLog, get(node.encodedState()).orElseThrow());
    }
}
