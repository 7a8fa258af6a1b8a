package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.OwnerAlive;
import org.foxtailplank.job.JournalRecord.OwnerLeft;
import org.foxtailplank.node.peer.OwnerState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Owners' records and signs that no node has written. */
public class ForeignOwnersTest extends OwnershipTestBase {
    @DataProvider
    public Object[][] foreignOwners() {
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

    @Test(dataProvider = "foreignOwners")
    public void aRecordOfAnotherWriterAmongTheOwnersStopsNobody(String what, byte[] foreign) {
        // Every node tries for ever to take the place of an owner that is gone, and no job is
        // started any more: behind the last owner's record stands one that no node has written, so
        // that the topic doesn't end where the next owner expects it to.
        anotherOwns();
        mLog.records(OWNERS).add(foreign);
        startNode();
        passWithSigns(400);
        mSigns.mState = OwnerState.GONE;
        pass(4 * TRY_MS);

        assertEquals(mTaken, List.of(3L), what);
        assertEquals(mPredecessorsOver, List.of(false), "who came before is not known");
    }

    @Test
    public void anOwnerIsLeftAloneThoughARecordOfAnotherWriterStandsBehindIts() {
        anotherOwns();
        mLog.records(OWNERS).add(new byte[0]);
        startNode();
        passWithSigns(4000);

        assertTrue(mTaken.isEmpty());
        assertEquals(mSigns.mOwner.get().token(), 1);
    }

    @Test
    public void aSignOfAnOwnerThatIsNowhereIsNone() {
        // A sign in the journal names an address that is none. Its reader threw, and nobody read
        // the journal on: the owner was gone and no other node took its place.
        anotherOwns();
        startNode();
        passWithSigns(400);
        write(new OwnerAlive(1, "nowhere", 0));
        write(new OwnerAlive(9, "10.0.0.9:", 0));
        write(new OwnerAlive(9, "", 0));
        passWithSigns(1200);
        boolean early = !mTaken.isEmpty();
        mSigns.mState = OwnerState.GONE;
        pass(2 * TRY_MS);

        assertFalse(early);
        assertEquals(mSigns.mOwner.get().address(), new InetSocketAddress("10.0.0.9", 1));
        assertEquals(mTaken, List.of(2L));
    }

    @DataProvider
    public Object[][] foreignSigns() {
        return new Object[][] {
            {new OwnerAlive(1L << 40, "10.0.0.3:1", 0)}, {new OwnerLeft(1L << 40, "third", true)},
        };
    }

    @Test(dataProvider = "foreignSigns")
    public void aSignWithATokenThatNobodyWasGivenKeepsNobodyFromOwning(JournalRecord foreign) {
        // A record in the journal names a token far beyond the owners' topic. Every node expected
        // the topic to end there, so that none could take ownership any more, and the owner's own
        // signs counted for nothing.
        anotherOwns();
        startNode();
        passWithSigns(400);
        write(foreign);
        passWithSigns(8000);
        boolean replaced = !mTaken.isEmpty();
        mSigns.mState = OwnerState.GONE;
        pass(4 * TRY_MS);

        assertFalse(replaced, "the owner showed itself all the time");
        assertEquals(mTaken, List.of(2L));
    }
}
