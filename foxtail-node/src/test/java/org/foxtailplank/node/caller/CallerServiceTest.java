package org.foxtailplank.node.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.http.HttpReply;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JournalRecord.EndedRun;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.Timetable;
import org.foxtailplank.node.FakeJobQueries;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.FakeSharedLog.ScriptedOutcome;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.journal.JournalPartitions;
import org.foxtailplank.port.ChangeFeed;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.OperatorChange;
import org.foxtailplank.port.RouteSettings;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the replies to callers. */
public class CallerServiceTest {
    private static final String JOB = "00000000000000aa";
    private static final String BODY = "{\"spec\":\"a\",\"phases\":[{\"count\":1}]}";

    private FakeTime mClock;
    private FakeSharedLog mLog;
    private FakeOperator mOperator;
    private CallerServiceFixture mService;

    /** Operator changes; each read returns the newest configuration. */
    private static final class FakeOperator implements ChangeFeed<OperatorChange> {
        private final List<String> mPrefixes = new ArrayList<>();
        private boolean mUnavailable;
        private int mMaxBodyBytes = 1000;

        @Override
        public void latest(Consumer<Result<OperatorChange>> callback) {
            changes(0, 0, callback);
        }

        @Override
        public void changes(long position, long waitMs, Consumer<Result<OperatorChange>> callback) {
            if (mUnavailable) {
                callback.accept(new Failed<>("unavailable"));
                return;
            }
            List<RouteSettings> routes = new ArrayList<>();
            QueuePolicy policy = new QueuePolicy(0, 2, 1.6, 600, Optional.empty());
            mPrefixes.forEach(p -> routes.add(new RouteSettings(p, "h", p, "s", policy, false)));
            FleetConfig config =
                    new FleetConfig(mPrefixes.size(), routes, List.of(), mMaxBodyBytes);
            OperatorChange change = new OperatorChange.NewConfig(config);
            callback.accept(
                    new Page<>(List.of(new Item<>("config", Optional.of(change))), 1, true));
        }
    }

    @BeforeMethod
    public void setUp() {
        mClock = new FakeTime();
        mLog = new FakeSharedLog();
        mOperator = new FakeOperator();
        mOperator.mPrefixes.add("/q/");
        mService = new CallerServiceFixture(mClock, mLog, mOperator, new FakeJobQueries());
        mService.readOperatorChanges();
    }

    private List<HttpReply> send(String method, String path, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return mService.send(method, path, bytes, Optional.empty());
    }

    private HttpReply reply(String method, String path, String body) {
        List<HttpReply> replies = send(method, path, body);
        for (int i = 0; i < 30 && replies.isEmpty(); i++) {
            mLog.deliverAnswers();
            mClock.advance(100);
        }
        assertEquals(replies.size(), 1);
        return replies.get(0);
    }

    private static String text(HttpReply reply) {
        return new String(reply.body(), StandardCharsets.UTF_8);
    }

    private int storedRecords() {
        return mLog.records(JournalPartitions.PRIMARY).size();
    }

    @Test
    public void aJobIsStoredBeforeItsSubmissionIsConfirmed() {
        List<HttpReply> replies = send("POST", "/q/" + JOB, BODY);
        assertTrue(replies.isEmpty());
        mLog.deliverAnswers();

        assertEquals(replies.get(0).status(), 200);
        assertEquals(storedRecords(), 1);
    }

    @Test
    public void concurrentSubmissionsOfAJobAreStoredOnce() {
        List<HttpReply> first = send("POST", "/q/" + JOB, BODY);
        List<HttpReply> second = send("POST", "/q/" + JOB, BODY);
        mLog.deliverAnswers();

        assertEquals(first.get(0).status(), 200);
        assertEquals(second.get(0).status(), 200);
        assertEquals(storedRecords(), 1);
    }

    /** Guards against demand that the owner doesn't know of while the store takes no jobs. */
    @Test
    public void onlyAJobThatIsNotStoredIsReportedToTheOwner() {
        mLog.scriptAppends(ScriptedOutcome.REFUSED);
        reply("POST", "/q/" + JOB, BODY);
        assertEquals(mService.unstored().size(), 1);
        assertEquals(mService.unstored().get(0).id(), JOB);

        reply("POST", "/q/" + JOB, BODY);
        assertEquals(mService.unstored().size(), 1, "the second submission was stored");
    }

    @Test
    public void aRejectedJobIsNotStoredAndTheReplyHasARetryAfterHeader() {
        mLog.scriptAppends(ScriptedOutcome.REFUSED);

        HttpReply reply = reply("POST", "/q/" + JOB, BODY);

        assertEquals(reply.status(), 503);
        assertEquals(reply.headers().get("Retry-After"), "1");
        assertEquals(storedRecords(), 0);
    }

    @Test
    public void aJobThatMayHaveBeenStoredIsNotRejected() {
        // A rejected job must never run here, since the caller may submit it elsewhere.
        mLog.scriptAppends(ScriptedOutcome.ANSWER_LOST);
        for (int i = 0; i < 40; i++) {
            mLog.scriptAppends(ScriptedOutcome.REFUSED);
        }

        assertEquals(reply("POST", "/q/" + JOB, BODY).status(), 504);
    }

    @Test
    public void aQueueIsReportedMissingOnlyAfterReadingTheNewestConfiguration() {
        // A caller would give up a job for a queue that was just added if it got a 404.
        mOperator.mPrefixes.add("/new/");
        assertEquals(reply("POST", "/new/" + JOB, BODY).status(), 200);
        assertEquals(reply("POST", "/none/" + JOB, BODY).status(), 404);
        mOperator.mUnavailable = true;
        assertEquals(reply("POST", "/none/" + JOB, BODY).status(), 503);
    }

    @Test
    public void aJobOfAnotherNodeIsFoundInTheJournal() {
        reply("POST", "/q/" + JOB, BODY);

        assertEquals(text(reply("GET", "/q/" + JOB, "")), "{\"state\":\"queued\"}");
        assertEquals(text(reply("GET", "/q/", "")), "{\"pending\":1}");
        assertEquals(reply("GET", "/q/00000000000000bb", "").status(), 410);
    }

    /** Stores a job as another node would, without reading the journal. */
    private void storeJobFromAnotherNode() {
        QueuePolicy policy = new QueuePolicy(0, 2, 1.6, 600, Optional.empty());
        TaskStep step =
                new TaskStep(
                        1,
                        Resources.of(1, 1, 0),
                        500,
                        List.of(),
                        PlacementConstraints.ANYWHERE,
                        RunMode.PLAIN);
        List<TaskStep> steps = List.of(step);
        JobDefinition definition =
                new JobDefinition(
                        JOB,
                        "/q/",
                        "s",
                        "a",
                        steps,
                        Timetable.AT_ONCE,
                        policy,
                        mClock.wallMs(),
                        0,
                        "");
        mLog.records(JournalPartitions.PRIMARY)
                .add(JournalCodec.encode(new JobAccepted(definition)));
    }

    @Test
    public void jobsStoredByOtherNodesAreCountedAsPending() {
        // Guards against a count of 0 from a node that lags behind the journal.
        storeJobFromAnotherNode();

        assertEquals(text(reply("GET", "/q/", "")), "{\"pending\":1}");
    }

    @Test
    public void aNodeThatCannotReadTheJournalReturnsNoPendingCount() {
        storeJobFromAnotherNode();
        JournalPartitions.all(3).forEach(p -> mLog.setUnavailable(p, true));

        assertEquals(reply("GET", "/q/", "").status(), 503);
    }

    @Test
    public void aJobIsCompletedOnceTheEndOfItsRunIsStored() {
        reply("POST", "/q/" + JOB, BODY);
        EndedRun end = new EndedRun(new TaskName(JOB, 0, 0, 0), 1, RunOutcome.DONE, 5);
        mLog.records(JournalPartitions.PRIMARY)
                .add(JournalCodec.encode(new RunsEnded(List.of(end))));

        assertEquals(text(reply("GET", "/q/" + JOB, "")), "{\"state\":\"completed\"}");
    }

    @Test
    public void aJobIsCancelledOnceItsCancellationIsStored() {
        reply("POST", "/q/" + JOB, BODY);

        assertEquals(reply("DELETE", "/q/" + JOB, "").status(), 200);
        assertEquals(storedRecords(), 2);
        assertEquals(text(reply("GET", "/q/" + JOB, "")), "{\"state\":\"cancelled\"}");
        assertEquals(reply("DELETE", "/q/00000000000000bb", "").status(), 410);
    }

    @Test
    public void badRequestsAreRejectedWithAReason() {
        HttpReply badId = reply("POST", "/q/short", BODY);
        HttpReply badBody = reply("POST", "/q/" + JOB, "{");

        assertEquals(badId.status(), 400);
        assertTrue(text(badId).contains("16 hexadecimal"));
        assertEquals(badBody.status(), 400);
        assertTrue(text(badBody).contains("no JSON"));
        assertEquals(reply("PUT", "/q/" + JOB, BODY).status(), 405);
        assertEquals(storedRecords(), 0);
    }

    @Test
    public void aJobWhoseRecordTheStoreWouldRefuseIsRejectedWithAReason() {
        // Guards against a job whose record is refused by all partitions, again and again.
        mOperator.mMaxBodyBytes = 256 << 10;
        mOperator.mPrefixes.add("/r/");
        mService.readOperatorChanges();
        String steps = ",{\"count\":1}".repeat(15_000);

        HttpReply reply =
                reply(
                        "POST",
                        "/q/" + JOB,
                        "{\"spec\":\"a\",\"phases\":[{\"count\":1}" + steps + "]}");

        assertEquals(reply.status(), 400);
        assertTrue(text(reply).contains("the job's steps"), text(reply));
        assertEquals(storedRecords(), 0);
    }
}
