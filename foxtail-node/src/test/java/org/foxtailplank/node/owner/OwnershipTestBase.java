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

/** A node beside an owner that the test plays, on a log and a clock in memory. */
abstract class OwnershipTestBase {
    static final LogPartition OWNERS = new LogPartition("foxtail-owners", 0);
    static final String ELSEWHERE = "10.0.0.9:1";

    /** Longest spread of the tries, and the time that a try takes in these tests. */
    static final long TRY_MS = 450;

    static final LinkRate WIDE = new LinkRate(1000);
    static final LinkRate NARROW = new LinkRate(1);

    /** Within this time a node takes the place that no other one takes. */
    static final long LAST_TRY_MS = 1200;

    FakeNode mTime;
    FakeLog mLog;
    FakeSigns mSigns;
    Optional<List<VmActions.VmInfo>> mVms;
    List<Long> mTaken;
    List<Boolean> mPredecessorsOver;
    List<Boolean> mRenewalsOver;
    Ownership mOwnership;

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
                        this::taken);
        reader.follow();
        mOwnership.watch();
    }

    private void taken(TakeOver taken) {
        mTaken.add(taken.token());
        mPredecessorsOver.add(taken.predecessorOver());
        mRenewalsOver.add(taken.renewalsOver());
    }

    void write(JournalRecord record) {
        mLog.records(JournalPartition.JOURNAL).add(JournalCodec.encode(record));
    }

    void anotherOwns() {
        mLog.records(OWNERS).add(new OwnerRecord("other", ELSEWHERE, "life").encode());
        write(new OwnerAlive(1, ELSEWHERE, 0));
    }

    void pass(long ms) {
        for (long t = 0; t < ms; t += 10) {
            mTime.pass(10);
            mLog.answer();
        }
    }

    /** The owner goes on showing itself in the journal. */
    void passWithSigns(long ms) {
        for (long t = 0; t < ms; t += 400) {
            write(new OwnerAlive(1, ELSEWHERE, 0));
            pass(400);
        }
    }
}
