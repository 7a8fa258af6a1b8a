package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.job.JobBook;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.OwnerAlive;
import org.foxtailplank.job.JournalRecord.OwnerLeft;
import org.foxtailplank.lease.CallLease;
import org.foxtailplank.lease.RenewalWindow;
import org.foxtailplank.node.FakeLog;
import org.foxtailplank.node.FakeNode;
import org.foxtailplank.node.LinkRate;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.journal.JournalPartition;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.node.peer.OwnerState;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.VmActions;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** When a node takes the place of an owner. */
public class OwnershipTest {
    private static final LogPartition OWNERS = new LogPartition("foxtail-owners", 0);
    private static final String ELSEWHERE = "10.0.0.9:1";

    /** Longest spread of the tries, and the time that a try takes in these tests. */
    private static final long TRY_MS = 450;

    private static final LinkRate WIDE = new LinkRate(1000);
    private static final LinkRate NARROW = new LinkRate(1);

    /** Within this time a node takes the place that no other one takes. */
    private static final long LAST_TRY_MS = 1200;

    private FakeNode mTime;
    private FakeLog mLog;
    private FakeSigns mSigns;
    private Optional<List<VmActions.VmInfo>> mVms;
    private List<Long> mTaken;
    private List<Boolean> mPredecessorsOver;
    private List<Boolean> mRenewalsOver;
    private Ownership mOwnership;

    @BeforeMethod
    public void setUp() {
        mTime = new FakeNode();
        mLog = new FakeLog();
        mSigns = new FakeSigns();
        mVms = Optional.of(List.of());
        mTaken = new ArrayList<>();
        mPredecessorsOver = new ArrayList<>();
        mRenewalsOver = new ArrayList<>();
    }

    private final class Vms implements VmActions {
        @Override
        public void list(Consumer<Optional<List<VmInfo>>> then) {
            then.accept(mVms);
        }

        @Override
        public void move(String vm, String pool, Holder holder, Consumer<VmOutcome> then) {
            throw new AssertionError("not an owner yet");
        }

        @Override
        public void reboot(String vm, long wave, Holder holder, Consumer<VmOutcome> then) {
            throw new AssertionError("not an owner yet");
        }
    }

    /** A node that starts now and reads what the journal holds. */
    private void startNode() {
        startNode(WIDE);
    }

    private void startNode(LinkRate link) {
        NodeLog out = NodeLog.silent(mTime);
        JournalReader reader =
                new JournalReader(
                        mLog,
                        JournalPartition.all(3),
                        mTime,
                        mTime,
                        out,
                        new JobBook(120_000),
                        (record, job) -> mOwnership.seen(record));
        mOwnership =
                new Ownership(
                        mLog,
                        reader,
                        mTime,
                        mTime,
                        out,
                        "node",
                        "10.0.0.1:1",
                        link,
                        mSigns,
                        new Vms(),
                        this::taken);
        reader.follow();
        mOwnership.watch();
    }

    private void taken(TakeOver taken) {
        mTaken.add(taken.token());
        mPredecessorsOver.add(taken.predecessorOver());
        mRenewalsOver.add(taken.renewalsOver());
    }

    private void write(JournalRecord record) {
        mLog.records(JournalPartition.JOURNAL).add(JournalCodec.encode(record));
    }

    private void anotherOwns() {
        mLog.records(OWNERS).add(new OwnerRecord("other", ELSEWHERE, "life").encode());
        write(new OwnerAlive(1, ELSEWHERE, 0));
    }

    private void pass(long ms) {
        for (long t = 0; t < ms; t += 10) {
            mTime.pass(10);
            mLog.answer();
        }
    }

    /** The owner goes on showing itself in the journal. */
    private void passWithSigns(long ms) {
        for (long t = 0; t < ms; t += 400) {
            write(new OwnerAlive(1, ELSEWHERE, 0));
            pass(400);
        }
    }

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
