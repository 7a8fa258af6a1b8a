package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.job.JobBook;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.OwnerAlive;
import org.foxtailplank.node.FakeLog;
import org.foxtailplank.node.FakeNode;
import org.foxtailplank.node.LinkRate;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.journal.JournalPartition;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.VmActions;
import org.testng.annotations.BeforeMethod;

/** A node and a simulated owner, with an in-memory log and a clock that the test controls. */
abstract class OwnershipTestBase {
    static final LogPartition OWNERS = new LogPartition("foxtail-owners", 0);
    static final String OTHER_ADDRESS = "10.0.0.9:1";

    /** Longest random delay plus the duration of an attempt in these tests. */
    static final long MAX_ATTEMPT_MS = 450;

    static final LinkRate WIDE = new LinkRate(1000);
    static final LinkRate NARROW = new LinkRate(1);

    /** Time within which a node on a narrow link takes over if no other node does. */
    static final long MAX_NARROW_ATTEMPT_MS = 1200;

    FakeNode mTime;
    FakeLog mLog;
    FakeSigns mSigns;
    Optional<List<VmActions.VmInfo>> mListedVms;
    List<Long> mTokens;
    List<Boolean> mPredecessorCallsFinished;
    List<Boolean> mRenewalsFinished;
    Ownership mOwnership;

    @BeforeMethod
    public void setUp() {
        mTime = new FakeNode();
        mLog = new FakeLog();
        mSigns = new FakeSigns();
        mListedVms = Optional.of(List.of());
        mTokens = new ArrayList<>();
        mPredecessorCallsFinished = new ArrayList<>();
        mRenewalsFinished = new ArrayList<>();
    }

    private final class Vms implements VmActions {
        @Override
        public void list(Consumer<Optional<List<VmInfo>>> then) {
            then.accept(mListedVms);
        }

        @Override
        public void move(String vm, String pool, Holder holder, Consumer<VmOutcome> then) {
            throw new AssertionError("called before the takeover");
        }

        @Override
        public void reboot(String vm, long wave, Holder holder, Consumer<VmOutcome> then) {
            throw new AssertionError("called before the takeover");
        }
    }

    /** Starts a node, which reads the journal's contents. */
    void startNode() {
        startNode(WIDE);
    }

    void startNode(LinkRate link) {
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
                        this::recordTakeover);
        reader.follow();
        mOwnership.watch();
    }

    private void recordTakeover(TakeOver takeover) {
        mTokens.add(takeover.token());
        mPredecessorCallsFinished.add(takeover.predecessorCallsFinished());
        mRenewalsFinished.add(takeover.renewalsFinished());
    }

    void write(JournalRecord record) {
        mLog.records(JournalPartition.JOURNAL).add(JournalCodec.encode(record));
    }

    void addOtherOwner() {
        mLog.records(OWNERS).add(new OwnerRecord("other", OTHER_ADDRESS, "life").encode());
        write(new OwnerAlive(1, OTHER_ADDRESS, 0));
    }

    void pass(long ms) {
        for (long t = 0; t < ms; t += 10) {
            mTime.pass(10);
            mLog.answer();
        }
    }

    /** Lets time pass while the owner keeps writing heartbeats. */
    void passWithHeartbeats(long ms) {
        for (long t = 0; t < ms; t += 400) {
            write(new OwnerAlive(1, OTHER_ADDRESS, 0));
            pass(400);
        }
    }
}
