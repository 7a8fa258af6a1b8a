package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.OwnerHeartbeat;
import org.foxtailplank.job.JournalRecord.OwnerResigned;
import org.foxtailplank.node.peer.OwnerState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests owner records and heartbeats that no node has written. */
public class ForeignOwnersTest extends OwnerElectionTestBase {
    @DataProvider
    public Object[][] foreignOwnerRecords() {
        return new Object[][] {
            {"", new byte[0]},
            {"bytes that are no text", new byte[] {(byte) 0xff, 0, 7}},
            {"two words", "one two".getBytes(StandardCharsets.UTF_8)},
            {"another format", "{\"node\": \"x\", \"at\": 1}".getBytes(StandardCharsets.UTF_8)},
            {"no address", new OwnerRecord("third", "nowhere", "life").encode()},
            {"no port", new OwnerRecord("third", "10.0.0.3:http", "life").encode()},
            {"a port too high", new OwnerRecord("third", "10.0.0.3:70000", "life").encode()},
        };
    }

    @Test(dataProvider = "foreignOwnerRecords")
    public void foreignOwnerRecordDoesNotPreventTakeover(String description, byte[] foreign) {
        // A foreign record after the last owner's moves the end of the owners partition. Nodes must
        // expect that end, otherwise no takeover ever succeeds.
        addOtherOwner();
        mLog.records(OWNERS).add(foreign);
        startNode();
        passWithHeartbeats(400);
        mOwnerMonitor.mState = OwnerState.GONE;
        pass(4 * MAX_ATTEMPT_MS);

        assertEquals(mTokens, List.of(3L), description);
        assertEquals(mPredecessorCallsFinished, List.of(false), "the predecessor is unknown");
    }

    @Test
    public void foreignOwnerRecordDoesNotReplaceLiveOwner() {
        addOtherOwner();
        mLog.records(OWNERS).add(new byte[0]);
        startNode();
        passWithHeartbeats(4000);

        assertTrue(mTokens.isEmpty());
        assertEquals(mOwnerMonitor.mOwner.get().token(), 1);
    }

    @Test
    public void heartbeatWithInvalidAddressIsIgnored() {
        // A heartbeat with an invalid address must not stop the journal reader, which would leave a
        // failed owner without a successor.
        addOtherOwner();
        startNode();
        passWithHeartbeats(400);
        write(new OwnerHeartbeat(1, "nowhere", 0));
        write(new OwnerHeartbeat(9, "10.0.0.9:", 0));
        write(new OwnerHeartbeat(9, "", 0));
        passWithHeartbeats(1200);
        boolean takenEarly = !mTokens.isEmpty();
        mOwnerMonitor.mState = OwnerState.GONE;
        pass(2 * MAX_ATTEMPT_MS);

        assertFalse(takenEarly);
        assertEquals(mOwnerMonitor.mOwner.get().address(), new InetSocketAddress("10.0.0.9", 1));
        assertEquals(mTokens, List.of(2L));
    }

    @DataProvider
    public Object[][] recordsWithUnissuedToken() {
        return new Object[][] {
            {new OwnerHeartbeat(1L << 40, "10.0.0.3:1", 0)},
            {new OwnerResigned(1L << 40, "third", true)},
        };
    }

    @Test(dataProvider = "recordsWithUnissuedToken")
    public void recordWithUnissuedTokenDoesNotPreventTakeover(JournalRecord foreign) {
        // A journal record with a token beyond the owners partition must neither block takeovers
        // nor hide the real owner's heartbeats.
        addOtherOwner();
        startNode();
        passWithHeartbeats(400);
        write(foreign);
        passWithHeartbeats(8000);
        boolean replaced = !mTokens.isEmpty();
        mOwnerMonitor.mState = OwnerState.GONE;
        pass(4 * MAX_ATTEMPT_MS);

        assertFalse(replaced, "the owner wrote heartbeats all the time");
        assertEquals(mTokens, List.of(2L));
    }
}
