package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.job.JobBook;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.OwnerAlive;
import org.foxtailplank.job.JournalRecord.OwnerLeft;
import org.foxtailplank.lease.CallLease;
import org.foxtailplank.node.FakeLog;
import org.foxtailplank.node.FakeNode;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.journal.JournalPartition;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.node.peer.OwnerSigns;
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

    private FakeNode mTime;
    private FakeLog mLog;
    private Signs mSigns;
    private Optional<List<VmActions.VmInfo>> mVms;
    private List<Long> mTaken;
    private List<Boolean> mPredecessorsOver;
    private Ownership mOwnership;

    @BeforeMethod
    public void setUp() {
        mTime = new FakeNode();
        mLog = new FakeLog();
        mSigns = new Signs();
        mVms = Optional.of(List.of());
        mTaken = new ArrayList<>();
        mPredecessorsOver = new ArrayList<>();
    }

    /** What the owner's connection would tell; the test sets it. */
    private static final class Signs implements OwnerSigns {
        private OwnerState mState = OwnerState.STREAMING;
        private Optional<KnownOwner> mOwner = Optional.empty();
        private long mStoringMs = Long.MIN_VALUE / 2;
        private Runnable mWhenDoubtful = () -> {};
        private boolean mCallsOver;

        @Override
        public void owner(Optional<KnownOwner> owner) {
            mOwner = owner;
        }

        @Override
        public OwnerState state(long token) {
            return mState;
        }

        @Override
        public boolean areCallsOver(long token) {
            return mCallsOver && mState == OwnerState.GONE;
        }

        @Override
        public long storingMs() {
            return mStoringMs;
        }

        @Override
        public void whenDoubtful(Runnable listener) {
            mWhenDoubtful = listener;
        }

        @Override
        public void check() {}
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
        startNode(LinkWidth.WIDE);
    }

    private void startNode(LinkWidth link) {
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

    /** The owner shows itself in the journal, and the node reads it. */
    private void showOwner() {
        write(new OwnerAlive(1, ELSEWHERE, 0));
        mOwnership.seen(new OwnerAlive(1, ELSEWHERE, 0));
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

    @Test
    public void aNodeWithANarrowLinkLetsOthersTakeTheFirstPlace() {
        // Nodes of two sizes start together, and chance makes one with a narrow link the owner. As
        // soon as a queue asks for its share its link is full: workers, the store and the VM
        // service all seem silent to it, nothing starts, and the jobs of that queue are late. The
        // same link is full again on the next narrow node that replaces it.
        for (int i = 0; i < 10; i++) {
            long wide = msUntilTaken(LinkWidth.WIDE);
            long narrow = msUntilTaken(LinkWidth.NARROW);

            assertTrue(narrow > wide, wide + " ms where it is wide, " + narrow + " ms if narrow");
        }
    }

    /** How long a node that starts alone with no owner waits before it owns, in milliseconds. */
    private long msUntilTaken(LinkWidth link) {
        setUp();
        startNode(link);
        long begin = mTime.nowMs();
        while (mTaken.isEmpty() && mTime.nowMs() < begin + 5000) {
            pass(10);
        }
        assertEquals(mTaken, List.of(1L), "nobody else has tried");
        return mTime.nowMs() - begin;
    }

    @Test(dataProvider = "lostOwners")
    public void aNodeWithANarrowLinkLetsOthersReplaceAnOwner(OwnerState state) {
        // An owner is lost in the middle of a queue's turn. The nodes with wide links would bear
        // the turn, but the one that happens to try first has a narrow one.
        anotherOwns();
        startNode(LinkWidth.NARROW);
        passWithSigns(800);
        showOwner();
        mSigns.mState = state;
        mSigns.mWhenDoubtful.run();
        pass(state.patienceMs() + TRY_MS);
        boolean early = !mTaken.isEmpty();
        pass(LinkWidth.NARROW.headStartMs() + TRY_MS);

        assertFalse(early);
        assertEquals(mTaken, List.of(2L), "nobody else has tried");
    }

    @DataProvider
    public Object[][] lostOwners() {
        return new Object[][] {{OwnerState.SILENT}, {OwnerState.REFUSED}, {OwnerState.GONE}};
    }

    @Test
    public void aNodeWithANarrowLinkLetsOthersFollowAnOwnerThatHasLeft() {
        // An owner is stopped as planned. All others learn of it in the same moment and try at
        // once, those with narrow links too, and the quickest append decides.
        anotherOwns();
        startNode(LinkWidth.NARROW);
        passWithSigns(800);
        write(new OwnerLeft(1, "other", true));
        mSigns.mState = OwnerState.GONE;
        mSigns.mWhenDoubtful.run();
        pass(TRY_MS);
        boolean early = !mTaken.isEmpty();
        pass(LinkWidth.NARROW.headStartMs() + TRY_MS);

        assertFalse(early);
        assertEquals(mTaken, List.of(2L), "nobody else has tried");
    }

    @Test
    public void aNodeWithANarrowLinkKeepsOffOnceAnotherHasTakenThePlace() {
        anotherOwns();
        startNode(LinkWidth.NARROW);
        passWithSigns(800);
        write(new OwnerLeft(1, "other", true));
        pass(TRY_MS);
        mLog.records(OWNERS).add(new OwnerRecord("third", ELSEWHERE, "life").encode());
        for (int i = 0; i < 10; i++) {
            write(new OwnerAlive(2, ELSEWHERE, 0));
            pass(400);
        }

        assertTrue(mTaken.isEmpty());
    }
}
