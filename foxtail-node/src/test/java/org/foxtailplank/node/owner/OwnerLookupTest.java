package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.foxtailplank.job.JournalRecord.OwnerHeartbeat;
import org.foxtailplank.node.peer.OwnerMonitor.KnownOwner;
import org.testng.annotations.Test;

/** Tests how a node that has just started finds the owner. */
public class OwnerLookupTest extends OwnerElectionTestBase {
    private static final int LINK_BYTES = 100;

    private void writeLongJournal() {
        write(new OwnerHeartbeat(1, "a".repeat(10 * LINK_BYTES), 0));
        mLog.limitAnswerBytes(LINK_BYTES);
    }

    @Test
    public void ownerIsKnownBeforeTheJournalIsRead() {
        // The owner's heartbeats are at the end of the journal, which takes seconds to read over a
        // narrow link. Until then the node must find the owner by its record.
        addOtherOwner();
        writeLongJournal();
        startNode();
        pass(500);

        assertEquals(mOwnerMonitor.mOwner.map(KnownOwner::token), Optional.of(1L));
    }

    @Test
    public void nextOwnerIsKnownWhileTheJournalIsBeingRead() {
        addOtherOwner();
        writeLongJournal();
        startNode();
        pass(500);
        mLog.records(OWNERS).add(new OwnerRecord("third", "10.0.0.3:1", "life").encode());
        pass(1000);

        assertEquals(mOwnerMonitor.mOwner.map(KnownOwner::token), Optional.of(2L));
        assertTrue(mTokens.isEmpty());
    }

    /** Guards against two sessions with one token in a node, which lose each other's records. */
    @Test
    public void delayedLookupThatFindsTheNodesOwnRecordDoesNotStartASecondSession() {
        DelayedReadsLog log = new DelayedReadsLog(mLog, OWNERS);
        startNode(WIDE, log);
        pass(2000);
        assertEquals(mTokens, List.of(1L), "the node owns before its lookup is answered");

        log.executeReads();
        pass(2000);

        assertEquals(mTokens, List.of(1L));
    }
}
