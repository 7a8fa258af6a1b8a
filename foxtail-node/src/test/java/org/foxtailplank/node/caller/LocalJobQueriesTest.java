package org.foxtailplank.node.caller;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.journal.JournalPartitions;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.log.NodeLog;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which queries a node answers that believes itself to be the owner. */
public class LocalJobQueriesTest {
    private final List<Optional<Integer>> mResults = new ArrayList<>();
    private FakeTime mClock;
    private FakeSharedLog mLog;
    private JournalReader mReader;
    private LocalJobQueries mQueries;

    @BeforeMethod
    public void setUp() {
        mResults.clear();
        mClock = new FakeTime();
        mLog = new FakeSharedLog();
        mReader =
                new JournalReader(
                        mLog,
                        JournalPartitions.all(3),
                        mClock,
                        mClock,
                        NodeLog.silent(mClock),
                        new JobRegistry(120_000),
                        (record, job) -> {});
        mQueries = new LocalJobQueries(mReader, mClock, () -> true, (job, keepMs) -> true);
    }

    private void read() {
        mReader.refresh(read -> {});
        mLog.deliverAnswers();
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
        JournalPartitions.all(3).forEach(p -> mLog.setUnavailable(p, true));
        for (int i = 0; i < 20; i++) {
            mClock.advance(100);
            read();
        }

        assertEquals(pending(), Optional.empty());
    }

    /** Guards against a count without the jobs in a spare partition. */
    @Test
    public void anOwnerThatReadsOnlySomePartitionsReturnsNoPendingCount() {
        read();
        mLog.setUnavailable(JournalPartitions.all(3).get(1), true);
        for (int i = 0; i < 20; i++) {
            mClock.advance(100);
            read();
        }

        assertEquals(pending(), Optional.empty());
    }
}
