package org.foxtailplank.node.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.http.HttpReply;
import org.foxtailplank.job.JournalRecord.CancelledId;
import org.foxtailplank.job.JournalRecord.UnknownJobsCancelled;
import org.foxtailplank.node.FakeJobQueries;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.FakeSharedLog.ScriptedOutcome;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.journal.JournalPartitions;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against jobs that run for good although their cancellation was acknowledged with 410, as
 * their records were in appends that the store performed later.
 */
public class EarlyCancellationTest {
    private static final String PATH = "/q/00000000000000aa";
    private static final String OTHER_PATH = "/q/00000000000000bb";
    private static final String BODY = "{\"spec\":\"a\",\"phases\":[{\"count\":1}]}";

    private FakeTime mClock;
    private FakeSharedLog mLog;
    private CallerServiceFixture mNode;
    private CallerServiceFixture mOther;

    @BeforeMethod
    public void setUp() {
        mClock = new FakeTime();
        mLog = new FakeSharedLog();
        mNode = node();
        mOther = node();
    }

    private CallerServiceFixture node() {
        CallerServiceFixture node =
                new CallerServiceFixture(mClock, mLog, new OneQueue(), new FakeJobQueries());
        node.readOperatorChanges();
        return node;
    }

    private List<HttpReply> send(CallerServiceFixture node, String method, String path) {
        byte[] body = method.equals("POST") ? BODY.getBytes(StandardCharsets.UTF_8) : new byte[0];
        return node.send(method, path, body, Optional.empty());
    }

    private HttpReply reply(CallerServiceFixture node, String method, String path) {
        List<HttpReply> replies = send(node, method, path);
        for (int i = 0; i < 40 && replies.isEmpty(); i++) {
            mLog.deliverAnswers();
            mClock.advance(100);
        }
        assertEquals(replies.size(), 1);
        return replies.get(0);
    }

    private String state(CallerServiceFixture node, String path) {
        return new String(reply(node, "GET", path).body(), StandardCharsets.UTF_8);
    }

    private int stored() {
        return mLog.records(JournalPartitions.PRIMARY).size();
    }

    @Test
    public void aJobWhoseRecordIsStoredAfterItsCancellationIsCancelled() {
        ScriptedOutcome[] late = new ScriptedOutcome[40];
        Arrays.fill(late, ScriptedOutcome.LATE);
        mLog.scriptAppends(late);
        assertEquals(reply(mNode, "POST", PATH).status(), 504);
        mLog.clearScript();

        assertEquals(reply(mOther, "DELETE", PATH).status(), 410);
        assertEquals(reply(mOther, "GET", PATH).status(), 410);
        mLog.performLateAppends();

        assertEquals(state(mOther, PATH), "{\"state\":\"cancelled\"}");
        assertEquals(state(mNode, PATH), "{\"state\":\"cancelled\"}");
        assertEquals(state(node(), PATH), "{\"state\":\"cancelled\"}");
    }

    @Test
    public void aSubmissionThatFollowsTheCancellationIsAcceptedAndCancelled() {
        assertEquals(reply(mNode, "DELETE", PATH).status(), 410);
        assertEquals(reply(mOther, "POST", PATH).status(), 200);
        assertEquals(reply(mNode, "POST", PATH).status(), 200);

        assertEquals(state(mOther, PATH), "{\"state\":\"cancelled\"}");
        assertEquals(reply(mNode, "DELETE", PATH).status(), 200);
    }

    @Test
    public void aCancellationThatMayNotBeStoredIsNotAcknowledged() {
        for (int i = 0; i < 60; i++) {
            mLog.scriptAppends(ScriptedOutcome.LOST);
        }
        assertEquals(reply(mNode, "DELETE", PATH).status(), 504);
    }

    @Test
    public void aCancellationThatTheStoreRejectsIsNotAcknowledged() {
        mLog.scriptAppends(ScriptedOutcome.REFUSED);

        HttpReply rejected = reply(mNode, "DELETE", PATH);

        assertEquals(rejected.status(), 503);
        assertEquals(rejected.headers().get("Retry-After"), "1");
    }

    /** Guards against a record for each repetition of a request. */
    @Test
    public void aRepeatedCancellationIsStoredOnce() {
        assertEquals(reply(mNode, "DELETE", PATH).status(), 410);
        assertEquals(reply(mNode, "DELETE", PATH).status(), 410);
        assertEquals(reply(mOther, "DELETE", PATH).status(), 410);

        assertEquals(stored(), 1);
    }

    /** Guards against a 410 that binds nothing once no further cancellation is kept. */
    @Test
    public void aCancellationThatCannotBeKeptIsRejectedUntilOthersExpire() {
        List<CancelledId> flood = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            flood.add(new CancelledId("f" + i, "", "q", mClock.wallMs()));
        }
        mLog.records(JournalPartitions.PRIMARY)
                .add(JournalCodec.encode(new UnknownJobsCancelled(flood)));

        HttpReply rejected = reply(mNode, "DELETE", PATH);

        assertEquals(rejected.status(), 503);
        assertTrue(Integer.parseInt(rejected.headers().get("Retry-After")) > 100);
        assertEquals(reply(mNode, "POST", OTHER_PATH).status(), 200);
        assertEquals(reply(mNode, "DELETE", OTHER_PATH).status(), 200);
    }
}
