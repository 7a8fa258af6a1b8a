package org.foxtailplank.node.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.http.HttpReply;
import org.foxtailplank.job.JobPhase;
import org.foxtailplank.job.JournalRecord.OwnerHeartbeat;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.node.BandwidthLimitedLog;
import org.foxtailplank.node.FakeFeed;
import org.foxtailplank.node.FakeJobQueries;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.journal.JournalPartitions;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.OperatorChange;
import org.foxtailplank.port.RouteSettings;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the replies of a node that is far behind the journal, on a link of 7 Mbit/s. */
public class LaggingNodeTest {
    private static final String JOB = "00000000000000aa";
    private static final double LINK_BYTES_PER_S = 875_000;
    private static final int RECORDS = 20_000;
    private static final int RECORD_BYTES = 500;
    private static final long CALLER_DEADLINE_MS = 3000;
    private static final long STEP_MS = 10;

    private FakeTime mClock;
    private FakeSharedLog mLog;
    private BandwidthLimitedLog mLink;
    private JournalReader mReader;
    private FakeJobQueries mOwnerQueries;
    private CallerServiceFixture mService;

    @BeforeMethod
    public void setUp() {
        mClock = new FakeTime();
        mLog = new FakeSharedLog();
        mOwnerQueries = new FakeJobQueries();
        mLink = new BandwidthLimitedLog(mLog, mClock, LINK_BYTES_PER_S);
        QueuePolicy policy = new QueuePolicy(0, 2, 1.6, 600, Optional.empty());
        RouteSettings queue = new RouteSettings("/q/", "h", "/q/", "s", policy, false);
        FakeFeed<OperatorChange> operatorChanges = new FakeFeed<>();
        FleetConfig config = new FleetConfig(1, List.of(queue), List.of(), 1000);
        operatorChanges.put("config", new OperatorChange.NewConfig(config));
        mService = new CallerServiceFixture(mClock, mLink, operatorChanges, mOwnerQueries);
        mService.readOperatorChanges();
        mReader = mService.reader();
    }

    private void fillJournal() {
        byte[] record = JournalCodec.encode(new OwnerHeartbeat(1, "a".repeat(RECORD_BYTES), 0));
        for (int i = 0; i < RECORDS; i++) {
            mLog.records(JournalPartitions.PRIMARY).add(record);
        }
    }

    private long journalBytes() {
        return mLog.records(JournalPartitions.PRIMARY).stream().mapToLong(r -> r.length).sum();
    }

    private List<HttpReply> send(String method, String path) {
        Optional<String> deadlineMs = Optional.of(Long.toString(CALLER_DEADLINE_MS));
        return mService.send(method, path, new byte[0], deadlineMs);
    }

    private void advance(long ms) {
        for (long t = 0; t < ms; t += STEP_MS) {
            mClock.advance(STEP_MS);
        }
    }

    @Test
    public void aNodeFarBehindAnswersCallersWithinTheirDeadline() {
        // Guards against requests that wait for the whole journal beyond their deadline.
        fillJournal();
        mReader.follow();
        advance(500);
        List<HttpReply> job = send("GET", "/q/" + JOB);
        List<HttpReply> pending = send("GET", "/q/");
        List<HttpReply> cancelled = send("DELETE", "/q/" + JOB);
        advance(CALLER_DEADLINE_MS);

        assertEquals(job.size(), 1);
        assertEquals(job.get(0).status(), 503);
        assertEquals(pending.size(), 1);
        assertEquals(cancelled.size(), 1);
    }

    @Test
    public void aStartingNodeTransfersTheJournalOnce() {
        // Guards against concurrent refreshes that each read the same pages.
        fillJournal();
        mReader.follow();
        for (int i = 0; i < 100; i++) {
            mReader.refresh(read -> {});
            advance(200);
        }

        assertTrue(mReader.isCaughtUp());
        assertTrue(
                mLink.transferredBytes() <= 1.02 * journalBytes(),
                mLink.transferredBytes() + " bytes");
    }

    @Test
    public void aNodeFarBehindAnswersFromTheOwner() {
        // Guards against a starting node that can't answer until it has read the whole journal.
        fillJournal();
        mReader.follow();
        mOwnerQueries.mPhases.put(JOB, JobPhase.COMPLETED);
        mOwnerQueries.mPending.put("/q/", 7);
        advance(500);
        List<HttpReply> job = send("GET", "/q/" + JOB);
        List<HttpReply> pending = send("GET", "/q/");
        List<HttpReply> cancelled = send("DELETE", "/q/" + JOB);
        advance(STEP_MS);

        assertEquals(text(job), "{\"state\":\"completed\"}");
        assertEquals(text(pending), "{\"pending\":7}");
        assertEquals(cancelled.size(), 1);
        assertEquals(cancelled.get(0).status(), 200);
    }

    @Test
    public void aJobUnknownToTheOwnerIsLookedUpInTheJournal() {
        // The owner may not have read yet what another node has just appended itself.
        mReader.follow();
        advance(500);
        List<HttpReply> job = send("GET", "/q/" + JOB);
        advance(500);

        assertEquals(job.size(), 1);
        assertEquals(job.get(0).status(), 410);
    }

    private static String text(List<HttpReply> replies) {
        assertEquals(replies.size(), 1);
        return new String(replies.get(0).body(), StandardCharsets.UTF_8);
    }
}
