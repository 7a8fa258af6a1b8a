package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.job.JournalRecord.OwnerAlive;
import org.foxtailplank.job.JournalRecord.OwnerLeft;
import org.foxtailplank.node.peer.OwnerState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** When a node takes the place of an owner. */
public class OwnershipTest extends OwnershipTestBase {
    @Test
    public void anOwnerThatShowsItselfIsLeftAlone() {
        anotherOwns();
        startNode();
        passWithSigns(4000);

        assertTrue(mTaken.isEmpty());
        assertEquals(mSigns.mOwner.get().token(), 1);
    }

    @Test
    public void anOwnerThatHasLeftIsReplacedAtOnce() {
        // Callers' jobs wait at each planned stop of an owner: the others learn that it has left
        // only by the next of their reads, and then wait as for one that is silent.
        anotherOwns();
        startNode();
        passWithSigns(800);
        write(new OwnerLeft(1, "other", true));
        mSigns.mState = OwnerState.GONE;
        mSigns.mWhenDoubtful.run();
        pass(TRY_MS);

        assertEquals(mTaken, List.of(2L));
    }

    @Test
    public void anOwnerOfBeforeAPowerLossIsReplacedAtOnce() {
        // All VMs lose power. The journal's last sign of the owner is young when the nodes are
        // back, and they would wait for an owner that none of them is.
        anotherOwns();
        startNode();
        mSigns.mState = OwnerState.GONE;
        pass(TRY_MS);

        assertEquals(mTaken, List.of(2L));
    }

    @Test
    public void anOwnerBehindACutThatRefusesConnectionsStays() {
        // A zone is cut off by a firewall that refuses connections; both sides reach the store. Had
        // a refusal been taken for the end of the owner, both sides would take its place in turns,
        // and none would get anything done.
        anotherOwns();
        startNode();
        mSigns.mState = OwnerState.REFUSED;
        passWithSigns(4000);

        assertTrue(mTaken.isEmpty());
    }

    @Test
    public void anOwnerWhoseProcessWasKilledIsReplacedWithinASecond() {
        anotherOwns();
        startNode();
        passWithSigns(800);
        mSigns.mState = OwnerState.REFUSED;
        pass(OwnerState.REFUSED.patienceMs() + TRY_MS);

        assertEquals(mTaken, List.of(2L));
    }

    @Test
    public void anOwnerThatLosesTheStoreIsReplaced() {
        // An owner is cut off from the store alone: it can't start anything more, while the others
        // go on hearing its heartbeats, and jobs wait for the whole time of the cut.
        anotherOwns();
        startNode();
        passWithSigns(800);
        mSigns.mStoringMs = mTime.nowMs();
        pass(OwnerState.STREAMING.patienceMs() + TRY_MS);

        assertEquals(mTaken, List.of(2L));
    }

    @Test
    public void anOwnerThatGetsNoAnswersOfTheStoreStaysWhileItsRecordsArrive() {
        // The store loses answers. The owner says that nothing of it was stored for a while, but
        // its records stand in the journal; replacing it would make jobs wait for nothing.
        anotherOwns();
        startNode();
        mSigns.mStoringMs = mTime.nowMs();
        passWithSigns(4000);

        assertTrue(mTaken.isEmpty());
    }

    @Test
    public void theNextOwnerIsKnownBeforeItsFirstSignInTheJournal() {
        // Two nodes try at a time while the store is slow. The one that loses would take the other
        // one's place before that could write its first sign, and so on.
        anotherOwns();
        startNode();
        passWithSigns(400);
        mLog.records(OWNERS).add(new OwnerRecord("third", "10.0.0.3:1", "life").encode());
        mSigns.mState = OwnerState.SILENT;
        for (int i = 0; i < 300 && mSigns.mOwner.get().token() == 1; i++) {
            pass(10);
        }

        assertTrue(mTaken.isEmpty());
        assertEquals(mSigns.mOwner.get().token(), 2);
        assertEquals(mSigns.mOwner.get().address(), new InetSocketAddress("10.0.0.3", 1));
    }

    @Test(dataProvider = "narrowStarts")
    public void aNodeWithANarrowLinkLetsAnotherOneTakeThePlace(Runnable lost) {
        // A queue's turn comes and its jobs wait for seconds. A small VM had taken the place of the
        // owner: what an owner sends to all nodes and workers filled its link, so that its appends
        // and looks went unanswered, while larger VMs stood by.
        lost.run();
        startNode(NARROW);
        mSigns.mState = OwnerState.GONE;
        pass(TRY_MS);
        assertTrue(mTaken.isEmpty(), "taken before others could try");
        mLog.records(OWNERS).add(new OwnerRecord("third", "10.0.0.3:1", "life").encode());
        write(new OwnerAlive(mLog.records(OWNERS).size(), "10.0.0.3:1", 0));
        mSigns.mState = OwnerState.STREAMING;
        pass(TRY_MS);

        assertTrue(mTaken.isEmpty());
        assertEquals(mSigns.mOwner.get().address(), new InetSocketAddress("10.0.0.3", 1));
    }

    @DataProvider
    public Object[][] narrowStarts() {
        Runnable first = () -> {};
        Runnable left =
                () -> {
                    anotherOwns();
                    write(new OwnerLeft(1, "other", true));
                };
        Runnable gone = this::anotherOwns;
        return new Object[][] {{first}, {left}, {gone}};
    }

    @Test
    public void aNodeWithANarrowLinkTakesThePlaceThatNobodyElseTakes() {
        anotherOwns();
        startNode(NARROW);
        mSigns.mState = OwnerState.GONE;
        pass(LAST_TRY_MS);

        assertEquals(mTaken, List.of(2L));
    }

    @Test
    public void aNodeThatDoesNotReachTheVmServiceLetsOthersGoAhead() {
        anotherOwns();
        startNode();
        mSigns.mState = OwnerState.GONE;
        mVms = Optional.empty();
        pass(TRY_MS);
        boolean early = !mTaken.isEmpty();
        pass(2000);

        assertFalse(early);
        assertEquals(mTaken, List.of(2L), "nobody else has tried");
    }
}
