package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.foxtailplank.job.JournalRecord.OwnerAlive;
import org.foxtailplank.node.peer.OwnerSigns.KnownOwner;
import org.testng.annotations.Test;

/** How a node that has just started finds the owner. */
public class OwnerLookupTest extends OwnershipTestBase {
    private static final int LINK_BYTES = 100;

    private void writeLongJournal() {
        write(new OwnerAlive(1, "a".repeat(10 * LINK_BYTES), 0));
        mLog.linkCarries(LINK_BYTES);
    }

    @Test
    public void aNodeThatHasNotReadTheJournalYetKnowsTheOwner() {
        // After the loss of all nodes those with narrow links refused callers' questions and
        // appended each job by themselves for 8 to 10 s, though an owner worked after 0.7 s: its
        // signs are at the end of the journal, which they had still to read.
        anotherOwns();
        writeLongJournal();
        startNode();
        pass(500);

        assertEquals(mSigns.mOwner.map(KnownOwner::token), Optional.of(1L));
    }

    @Test
    public void aNodeThatIsStillReadingLearnsOfTheNextOwner() {
        anotherOwns();
        writeLongJournal();
        startNode();
        pass(500);
        mLog.records(OWNERS).add(new OwnerRecord("third", "10.0.0.3:1", "life").encode());
        pass(1000);

        assertEquals(mSigns.mOwner.map(KnownOwner::token), Optional.of(2L));
        assertTrue(mTaken.isEmpty());
    }
}
