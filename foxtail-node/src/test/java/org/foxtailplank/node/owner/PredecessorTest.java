package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.foxtailplank.job.JournalRecord.OwnerAlive;
import org.foxtailplank.job.JournalRecord.OwnerLeft;
import org.foxtailplank.lease.CallLease;
import org.foxtailplank.lease.RenewalWindow;
import org.foxtailplank.node.peer.OwnerState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What a node that takes an owner's place may take as over of the owners before it. */
public class PredecessorTest extends OwnershipTestBase {
    @Test(dataProvider = "yesAndNo")
    public void callsOfAnOwnerThatHasLeftAreOverIfItSaysSo(boolean callsOver) {
        anotherOwns();
        write(new OwnerLeft(1, "other", callsOver));
        startNode();
        pass(TRY_MS);

        assertEquals(mPredecessorsOver, List.of(callsOver));
    }

    @DataProvider
    public Object[][] yesAndNo() {
        return new Object[][] {{true}, {false}};
    }

    @Test
    public void callsOfAnOwnerWhoseProcessHasEndedAreOver() {
        // All VMs lose power. The next owner would hold back every move of a VM for the length of a
        // lease, while the queue whose turn it is waits for them.
        anotherOwns();
        write(new OwnerAlive(1, ELSEWHERE, CallLease.WAIT_MS));
        startNode();
        mSigns.mState = OwnerState.GONE;
        mSigns.mCallsOver = true;
        pass(TRY_MS);

        assertEquals(mPredecessorsOver, List.of(true));
    }

    @Test
    public void anOwnerOfAMomentDoesNotSpeakForTheOneBeforeIt() {
        // The owner had just taken over from one that was cut off, and was killed. Its process is
        // over, but calls of the one before may still be under way.
        anotherOwns();
        write(new OwnerAlive(1, ELSEWHERE, CallLease.WAIT_MS - 1));
        startNode();
        mSigns.mState = OwnerState.GONE;
        mSigns.mCallsOver = true;
        pass(TRY_MS);

        assertEquals(mPredecessorsOver, List.of(false));
    }

    @DataProvider
    public Object[][] predecessors() {
        long longEnough = RenewalWindow.WAIT_MS;
        return new Object[][] {
            {"killed", longEnough, OwnerState.GONE, true, true},
            {"killed soon after it had taken over", longEnough - 1, OwnerState.GONE, true, false},
            {"cut off", longEnough, OwnerState.REFUSED, false, false},
            {"silent", longEnough, OwnerState.SILENT, false, false},
        };
    }

    @Test(dataProvider = "predecessors")
    public void leasesAreRenewedNoMoreOnlyByOwnersWhoseProcessHasEnded(
            String what, long ownedMs, OwnerState state, boolean saysSo, boolean over) {
        // A successor that takes the leases of a cut-off owner as over starts tasks a second time.
        anotherOwns();
        write(new OwnerAlive(1, ELSEWHERE, ownedMs));
        startNode();
        mSigns.mState = state;
        mSigns.mCallsOver = saysSo;
        pass(OwnerState.SILENT.patienceMs() + TRY_MS);

        assertEquals(mRenewalsOver, List.of(over), what);
    }

    @Test
    public void anOwnerThatHasLeftRenewsNoLeasesIfItOwnedForLongEnough() {
        anotherOwns();
        write(new OwnerAlive(1, ELSEWHERE, RenewalWindow.WAIT_MS));
        write(new OwnerLeft(1, "other", false));
        startNode();
        pass(TRY_MS);

        assertEquals(mRenewalsOver, List.of(true));
    }

    @Test
    public void anOwnerThatIsOnlySilentMayStillCall() {
        anotherOwns();
        write(new OwnerAlive(1, ELSEWHERE, CallLease.WAIT_MS));
        startNode();
        mSigns.mState = OwnerState.SILENT;
        mSigns.mCallsOver = true;
        pass(OwnerState.SILENT.patienceMs() + TRY_MS);

        assertEquals(mPredecessorsOver, List.of(false));
    }
}
