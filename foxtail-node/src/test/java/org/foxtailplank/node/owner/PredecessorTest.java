package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.foxtailplank.job.JournalRecord.OwnerHeartbeat;
import org.foxtailplank.job.JournalRecord.OwnerResigned;
import org.foxtailplank.lease.CallLease;
import org.foxtailplank.lease.RenewalWindow;
import org.foxtailplank.node.peer.OwnerState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what a new owner assumes about VM calls and lease renewals of earlier owners. */
public class PredecessorTest extends OwnerElectionTestBase {
    @Test(dataProvider = "booleans")
    public void callsOfOwnerThatResignedAreFinishedIfItsRecordSaysSo(boolean vmCallsFinished) {
        addOtherOwner();
        write(new OwnerResigned(1, "other", vmCallsFinished));
        startNode();
        pass(MAX_ATTEMPT_MS);

        assertEquals(mPredecessorCallsFinished, List.of(vmCallsFinished));
    }

    @DataProvider
    public Object[][] booleans() {
        return new Object[][] {{true}, {false}};
    }

    @Test
    public void callsOfOwnerWhoseProcessEndedAreFinished() {
        // After a power loss the next owner must not delay VM moves for the length of a lease.
        addOtherOwner();
        write(new OwnerHeartbeat(1, OTHER_ADDRESS, CallLease.TAKEOVER_WAIT_MS));
        startNode();
        mOwnerMonitor.mState = OwnerState.GONE;
        mOwnerMonitor.mVmCallsFinished = true;
        pass(MAX_ATTEMPT_MS);

        assertEquals(mPredecessorCallsFinished, List.of(true));
    }

    @Test
    public void shortTenureDoesNotProveThatEarlierCallsAreFinished() {
        // An owner that was killed soon after its takeover says nothing about calls of its
        // predecessor, which may still be in flight.
        addOtherOwner();
        write(new OwnerHeartbeat(1, OTHER_ADDRESS, CallLease.TAKEOVER_WAIT_MS - 1));
        startNode();
        mOwnerMonitor.mState = OwnerState.GONE;
        mOwnerMonitor.mVmCallsFinished = true;
        pass(MAX_ATTEMPT_MS);

        assertEquals(mPredecessorCallsFinished, List.of(false));
    }

    @DataProvider
    public Object[][] predecessors() {
        long longEnough = RenewalWindow.TAKEOVER_WAIT_MS;
        return new Object[][] {
            {"killed", longEnough, OwnerState.GONE, true, true},
            {"killed soon after it had taken over", longEnough - 1, OwnerState.GONE, true, false},
            {"cut off", longEnough, OwnerState.REFUSED, false, false},
            {"silent", longEnough, OwnerState.SILENT, false, false},
        };
    }

    @Test(dataProvider = "predecessors")
    public void renewalsAreFinishedOnlyIfTheOwnersProcessEnded(
            String description,
            long ownedMs,
            OwnerState state,
            boolean reportsVmCallsFinished,
            boolean expected) {
        // A successor that assumes that a disconnected owner's renewals have ended starts tasks
        // twice.
        addOtherOwner();
        write(new OwnerHeartbeat(1, OTHER_ADDRESS, ownedMs));
        startNode();
        mOwnerMonitor.mState = state;
        mOwnerMonitor.mVmCallsFinished = reportsVmCallsFinished;
        pass(OwnerState.SILENT.takeOverTimeoutMs() + MAX_ATTEMPT_MS);

        assertEquals(mRenewalsFinished, List.of(expected), description);
    }

    /** Guards against a report of a process that was about to own, taken for that of its end. */
    @Test
    public void aReportFromBeforeTheOwnersTenureProvesNothing() {
        addOtherOwner();
        startNode();
        pass(100);
        mOwnerMonitor.mVmCallsFinished = true;
        mOwnerMonitor.mReportedMs = mTime.nowMs();
        passWithHeartbeats(RenewalWindow.TAKEOVER_WAIT_MS);
        write(new OwnerHeartbeat(1, OTHER_ADDRESS, RenewalWindow.TAKEOVER_WAIT_MS));
        pass(400);
        mOwnerMonitor.mState = OwnerState.GONE;
        pass(OwnerState.SILENT.takeOverTimeoutMs() + MAX_ATTEMPT_MS);

        assertEquals(mRenewalsFinished, List.of(false));
        assertEquals(mPredecessorCallsFinished, List.of(false));
    }

    @Test
    public void renewalsAreFinishedIfOwnerResignedAfterLongTenure() {
        addOtherOwner();
        write(new OwnerHeartbeat(1, OTHER_ADDRESS, RenewalWindow.TAKEOVER_WAIT_MS));
        write(new OwnerResigned(1, "other", false));
        startNode();
        pass(MAX_ATTEMPT_MS);

        assertEquals(mRenewalsFinished, List.of(true));
    }

    @Test
    public void callsOfUnresponsiveOwnerAreNotFinished() {
        addOtherOwner();
        write(new OwnerHeartbeat(1, OTHER_ADDRESS, CallLease.TAKEOVER_WAIT_MS));
        startNode();
        mOwnerMonitor.mState = OwnerState.SILENT;
        mOwnerMonitor.mVmCallsFinished = true;
        pass(OwnerState.SILENT.takeOverTimeoutMs() + MAX_ATTEMPT_MS);

        assertEquals(mPredecessorCallsFinished, List.of(false));
    }
}
