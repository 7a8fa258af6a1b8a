package org.foxtailplank.node.caller;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.http.HttpReply;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.node.ExpiringLog;
import org.foxtailplank.node.FakeFeed;
import org.foxtailplank.node.FakeJobQueries;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.OperatorChange;
import org.foxtailplank.port.RouteSettings;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the replies of a node that starts after the journal's history has expired. */
public class ExpiredJournalTest {
    private static final String JOB = "00000000000000aa";
    private static final String UNKNOWN_JOB = "00000000000000bb";
    private static final String BODY = "{\"spec\":\"a\",\"phases\":[{\"count\":1}]}";
    private static final long RETENTION_MS = 20_000;

    private FakeTime mClock;
    private FakeSharedLog mLog;
    private ExpiringLog mExpiring;

    @BeforeMethod
    public void setUp() {
        mClock = new FakeTime();
        mLog = new FakeSharedLog();
        mExpiring = new ExpiringLog(mLog, mClock, RETENTION_MS);
    }

    private CallerServiceFixture startNode() {
        QueuePolicy policy = new QueuePolicy(0, 2, 1.6, 600, Optional.empty());
        RouteSettings queue = new RouteSettings("/q/", "h", "/q/", "s", policy, false);
        FakeFeed<OperatorChange> operatorChanges = new FakeFeed<>();
        FleetConfig config = new FleetConfig(1, List.of(queue), List.of(), 1000);
        operatorChanges.put("config", new OperatorChange.NewConfig(config));
        CallerServiceFixture node =
                new CallerServiceFixture(mClock, mExpiring, operatorChanges, new FakeJobQueries());
        node.readOperatorChanges();
        return node;
    }

    private HttpReply reply(CallerServiceFixture node, String method, String job, String body) {
        List<HttpReply> replies =
                node.send(
                        method,
                        "/q/" + job,
                        body.getBytes(StandardCharsets.UTF_8),
                        Optional.empty());
        for (int i = 0; i < 50 && replies.isEmpty(); i++) {
            mLog.deliverAnswers();
            mClock.advance(100);
        }
        assertEquals(replies.size(), 1);
        return replies.get(0);
    }

    private void acceptJobThatExpires() {
        assertEquals(reply(startNode(), "POST", JOB, BODY).status(), 200);
        mClock.advance(2 * RETENTION_MS);
    }

    /** Guards against 410 for an accepted job whose record has expired. */
    @Test
    public void anAcceptedJobIsKnownAfterItsRecordHasExpired() {
        acceptJobThatExpires();
        CallerServiceFixture node = startNode();

        assertEquals(
                new String(reply(node, "GET", JOB, "").body(), StandardCharsets.UTF_8),
                "{\"state\":\"queued\"}");
        assertEquals(reply(node, "GET", UNKNOWN_JOB, "").status(), 410);
    }

    /** Guards against 410 from a node that can't know, since it lacks the retained records. */
    @Test
    public void aNodeThatLacksTheRetainedRecordsDoesNotReportJobsAsUnknown() {
        acceptJobThatExpires();
        mLog.setAnswersNewest(false);
        CallerServiceFixture node = startNode();

        assertEquals(reply(node, "GET", JOB, "").status(), 503);
        assertEquals(reply(node, "GET", UNKNOWN_JOB, "").status(), 503);
        assertEquals(reply(node, "DELETE", JOB, "").status(), 503);
        mLog.setAnswersNewest(true);
        assertEquals(reply(node, "DELETE", JOB, "").status(), 200);
    }
}
