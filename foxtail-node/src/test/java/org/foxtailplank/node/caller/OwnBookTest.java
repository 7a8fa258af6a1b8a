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

/** What a node that believes that it owns tells from its book. */
public class OwnBookTest {
    private final List<Optional<Integer>> mResults = new ArrayList<>();
    private FakeNode mTime;
    private FakeLog mLog;
    private JournalReader mReader;
    private OwnBook mQueries;

    @BeforeMethod
    public void setUp() {
        mResults.clear();
        mTime = new FakeNode();
        mLog = new FakeLog();
        mReader =
                new JournalReader(
                        mLog,
                        JournalPartition.all(3),
                        mTime,
                        mTime,
                        NodeLog.silent(mTime),
                        new JobBook(120_000),
                        (record, job) -> {});
        mQueries = new OwnBook(mReader, mTime, () -> true);
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

    /** Guards against a number of a former owner that has not noticed its successor. */
    @Test
    public void anOwnerWhoseReadsFailReturnsNoPendingCount() {
        read();
        JournalPartition.all(3).forEach(p -> mLog.down(p, true));
        for (int i = 0; i < 20; i++) {
            mTime.pass(100);
            read();
        }

        assertEquals(pending(), Optional.empty());
    }

    /** Guards against a number that lacks the jobs in a spare partition. */
    @Test
    public void anOwnerThatReadsOnlySomePartitionsReturnsNoPendingCount() {
        read();
        mLog.down(JournalPartition.all(3).get(1), true);
        for (int i = 0; i < 20; i++) {
            mTime.pass(100);
            read();
        }

        assertEquals(pending(), Optional.empty());
    }
}
