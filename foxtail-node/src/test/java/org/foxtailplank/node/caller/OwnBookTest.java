package org.foxtailplank.node.caller;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.job.JobBook;
import org.foxtailplank.node.FakeLog;
import org.foxtailplank.node.FakeNode;
import org.foxtailplank.node.journal.JournalPartition;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.log.NodeLog;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which queries a node answers that believes itself to be the owner. */
public class OwnBookTest {
    private final List<Optional<Integer>> mResults = new ArrayList<>();
    private FakeNode mClock;
    private FakeLog mLog;
    private JournalReader mReader;
    private OwnBook mQueries;

    @BeforeMethod
    public void setUp() {
        mResults.clear();
        mClock = new FakeNode();
        mLog = new FakeLog();
        mReader =
                new JournalReader(
                        mLog,
                        JournalPartition.all(3),
                        mClock,
                        mClock,
                        NodeLog.silent(mClock),
                        new JobBook(120_000),
                        (record, job) -> {});
        mQueries = new OwnBook(mReader, mClock, () -> true);
    }

    private void read() {
        mReader.refresh(read -> {});
        mLog.answer();
    }

    private Optional<Integer> pending() {
        mQueries.pending("q", mResults::add);
        return mResults.remove(0);
    }

    @Test
    public void anOwnerThatHasJustReadTheJournalReturnsThePendingCount() {
        read();

        assertEquals(pending(), Optional.of(0));
    }

    /** Guards against an outdated count from a former owner that has not noticed its successor. */
    @Test
    public void anOwnerWhoseReadsFailReturnsNoPendingCount() {
        read();
        JournalPartition.all(3).forEach(p -> mLog.down(p, true));
        for (int i = 0; i < 20; i++) {
            mClock.pass(100);
            read();
        }

        assertEquals(pending(), Optional.empty());
    }

    /** Guards against a count without the jobs in a spare partition. */
    @Test
    public void anOwnerThatReadsOnlySomePartitionsReturnsNoPendingCount() {
        read();
        mLog.down(JournalPartition.all(3).get(1), true);
        for (int i = 0; i < 20; i++) {
            mClock.pass(100);
            read();
        }

        assertEquals(pending(), Optional.empty());
    }
}
