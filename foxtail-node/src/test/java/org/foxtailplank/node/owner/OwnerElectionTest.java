package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.job.JournalRecord.OwnerHeartbeat;
import org.foxtailplank.job.JournalRecord.OwnerResigned;
import org.foxtailplank.node.ExpiringLog;
import org.foxtailplank.node.journal.JournalPartitions;
import org.foxtailplank.node.peer.OwnerState;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.SharedLog;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests when a node takes over from an owner. */
public class OwnerElectionTest extends OwnerElectionTestBase {
    @Test
    public void ownerThatWritesHeartbeatsIsNotReplaced() {
        addOtherOwner();
        startNode();
        passWithHeartbeats(4000);

        assertTrue(mTokens.isEmpty());
        assertEquals(mOwnerMonitor.mOwner.get().token(), 1);
    }

    @Test
    public void ownerThatResignedIsReplacedImmediately() {
        // A planned stop must not delay jobs: followers need not wait for the owner's timeout.
        addOtherOwner();
        startNode();
        passWithHeartbeats(800);
        write(new OwnerResigned(1, "other", true));
        mOwnerMonitor.mState = OwnerState.GONE;
        mOwnerMonitor.mOnOwnerUnavailable.run();
        pass(MAX_ATTEMPT_MS);

        assertEquals(mTokens, List.of(2L));
    }

    @Test
    public void ownerFromBeforePowerLossIsReplacedImmediately() {
        // After a power loss the owner's last heartbeat in the journal is recent, but no node is
        // that owner.
        addOtherOwner();
        startNode();
        mOwnerMonitor.mState = OwnerState.GONE;
        pass(MAX_ATTEMPT_MS);

        assertEquals(mTokens, List.of(2L));
    }

    @Test
    public void ownerThatWritesHeartbeatsButRefusesConnectionsIsNotReplaced() {
        // A firewall that cuts a zone off may refuse connections while both sides reach the store.
        // If that counted as a failed owner, both sides would replace each other in turn.
        addOtherOwner();
        startNode();
        mOwnerMonitor.mState = OwnerState.REFUSED;
        passWithHeartbeats(4000);

        assertTrue(mTokens.isEmpty());
    }

    @Test
    public void ownerWhoseProcessWasKilledIsReplacedWithinASecond() {
        addOtherOwner();
        startNode();
        passWithHeartbeats(800);
        mOwnerMonitor.mState = OwnerState.REFUSED;
        pass(OwnerState.REFUSED.takeOverTimeoutMs() + MAX_ATTEMPT_MS);

        assertEquals(mTokens, List.of(2L));
    }

    private ExpiringLog addOtherOwnerWhoseRecordsExpire() {
        addOtherOwner();
        ExpiringLog expiring = new ExpiringLog(mLog, mTime, 20_000);
        for (LogPartition p : List.of(OWNERS, JournalPartitions.PRIMARY)) {
            expiring.read(p, 0, SharedLog.PageRequest.largest(0), r -> {});
        }
        mTime.advance(23_000);
        return expiring;
    }

    /** Guards against no owner ever again once the last owner's record has expired. */
    @Test
    public void ownerWhoseRecordsHaveExpiredIsReplaced() {
        ExpiringLog expiring = addOtherOwnerWhoseRecordsExpire();
        startNode(WIDE, expiring);
        pass(OwnerState.SILENT.takeOverTimeoutMs() + 2 * MAX_ATTEMPT_MS);

        assertEquals(mTokens, List.of(2L));
    }

    /** Guards against a second owner beside one whose record has expired. */
    @Test
    public void ownerWhoseRecordHasExpiredIsNotReplacedWhileItWritesHeartbeats() {
        ExpiringLog expiring = addOtherOwnerWhoseRecordsExpire();
        write(new OwnerHeartbeat(1, OTHER_ADDRESS, 0));
        startNode(WIDE, expiring);
        passWithHeartbeats(4000);

        assertTrue(mTokens.isEmpty());
    }

    @Test
    public void ownerThatLosesTheStoreIsReplaced() {
        // An owner that loses only the store still sends stream heartbeats but cannot start
        // anything.
        addOtherOwner();
        startNode();
        passWithHeartbeats(800);
        mOwnerMonitor.mStoringMs = mTime.nowMs();
        pass(OwnerState.STREAMING.takeOverTimeoutMs() + MAX_ATTEMPT_MS);

        assertEquals(mTokens, List.of(2L));
    }

    @Test
    public void ownerWithoutStoreAnswersIsNotReplacedWhileItsRecordsAreStored() {
        // An owner whose store answers are lost reports no stored records, but they are in the
        // journal.
        addOtherOwner();
        startNode();
        mOwnerMonitor.mStoringMs = mTime.nowMs();
        passWithHeartbeats(4000);

        assertTrue(mTokens.isEmpty());
    }

    @Test
    public void newOwnerIsKnownBeforeItsFirstHeartbeat() {
        // When two nodes try at a time, the loser must not replace the winner before the winner's
        // first heartbeat is stored.
        addOtherOwner();
        startNode();
        passWithHeartbeats(400);
        mLog.records(OWNERS).add(new OwnerRecord("third", "10.0.0.3:1", "life").encode());
        mOwnerMonitor.mState = OwnerState.SILENT;
        for (int i = 0; i < 300 && mOwnerMonitor.mOwner.get().token() == 1; i++) {
            pass(10);
        }

        assertTrue(mTokens.isEmpty());
        assertEquals(mOwnerMonitor.mOwner.get().token(), 2);
        assertEquals(mOwnerMonitor.mOwner.get().address(), new InetSocketAddress("10.0.0.3", 1));
    }

    @Test(dataProvider = "vacancyScenarios")
    public void nodeWithNarrowLinkYieldsToAnotherNode(Runnable vacancy) {
        // What an owner sends to all nodes and workers can fill a narrow link, so that its appends
        // and polls time out while nodes with wider links are available.
        vacancy.run();
        startNode(NARROW);
        mOwnerMonitor.mState = OwnerState.GONE;
        pass(MAX_ATTEMPT_MS);
        assertTrue(mTokens.isEmpty(), "took over before others could try");
        mLog.records(OWNERS).add(new OwnerRecord("third", "10.0.0.3:1", "life").encode());
        write(new OwnerHeartbeat(mLog.records(OWNERS).size(), "10.0.0.3:1", 0));
        mOwnerMonitor.mState = OwnerState.STREAMING;
        pass(MAX_ATTEMPT_MS);

        assertTrue(mTokens.isEmpty());
        assertEquals(mOwnerMonitor.mOwner.get().address(), new InetSocketAddress("10.0.0.3", 1));
    }

    @DataProvider
    public Object[][] vacancyScenarios() {
        Runnable first = () -> {};
        Runnable onResigned =
                () -> {
                    addOtherOwner();
                    write(new OwnerResigned(1, "other", true));
                };
        Runnable lost = this::addOtherOwner;
        return new Object[][] {{first}, {onResigned}, {lost}};
    }

    @Test
    public void nodeWithNarrowLinkTakesOverIfNoOtherNodeDoes() {
        addOtherOwner();
        startNode(NARROW);
        mOwnerMonitor.mState = OwnerState.GONE;
        pass(MAX_NARROW_ATTEMPT_MS);

        assertEquals(mTokens, List.of(2L));
    }

    @Test
    public void nodeThatCannotReachTheVmServiceYieldsToOtherNodes() {
        addOtherOwner();
        startNode();
        mOwnerMonitor.mState = OwnerState.GONE;
        mListedVms = Optional.empty();
        pass(MAX_ATTEMPT_MS);
        boolean takenEarly = !mTokens.isEmpty();
        pass(2000);

        assertFalse(takenEarly);
        assertEquals(mTokens, List.of(2L), "no other node tried");
    }

    /** Guards against nodes whose lists exceed the service's rate, so that none takes over. */
    @Test
    public void nodeWhoseListsAreRejectedTakesOverAtOnce() {
        addOtherOwner();
        startNode();
        mOwnerMonitor.mState = OwnerState.GONE;
        mListedVms = Optional.empty();
        mListsRejected = true;
        pass(MAX_ATTEMPT_MS);

        assertEquals(mTokens, List.of(2L));
        assertEquals(mListCalls, 0);
    }
}
