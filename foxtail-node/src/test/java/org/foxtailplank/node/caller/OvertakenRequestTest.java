package org.foxtailplank.node.caller;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.http.HttpReply;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.node.FakeJobQueries;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.HeldFeed;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.OperatorChange;
import org.foxtailplank.port.RouteSettings;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests requests that wait for the configuration while others are decided. */
public class OvertakenRequestTest {
    private static final byte[] BODY =
            "{\"spec\":\"a\",\"phases\":[{\"count\":1}]}".getBytes(StandardCharsets.UTF_8);

    private FakeTime mClock;
    private FakeSharedLog mLog;
    private HeldFeed<OperatorChange> mFeed;
    private CallerServiceFixture mNode;

    @BeforeMethod
    public void setUp() {
        mClock = new FakeTime();
        mLog = new FakeSharedLog();
        mFeed = new HeldFeed<>();
        mNode = new CallerServiceFixture(mClock, mLog, mFeed, new FakeJobQueries());
        readConfig(mNode, mFeed, config(1, "/kept/", "/dropped/"));
        readJournal(mNode);
    }

    private static OperatorChange config(long version, String... prefixes) {
        QueuePolicy policy = new QueuePolicy(0, 2, 1.6, 600, Optional.empty());
        List<RouteSettings> routes = new ArrayList<>();
        for (String p : prefixes) {
            routes.add(new RouteSettings(p, "h", p, "s", policy, false));
        }
        return new OperatorChange.NewConfig(new FleetConfig(version, routes, List.of(), 1000));
    }

    private static void readConfig(
            CallerServiceFixture node, HeldFeed<OperatorChange> feed, OperatorChange config) {
        node.readOperatorChanges();
        feed.answer("config", config);
    }

    private void readJournal(CallerServiceFixture node) {
        JournalReader reader = node.reader();
        reader.refresh(read -> {});
        mLog.deliverAnswers();
    }

    private List<HttpReply> get(String path) {
        return mNode.send("GET", path, new byte[0], Optional.empty());
    }

    private void answerAllReads(OperatorChange config) {
        while (mFeed.pendingReads() > 0) {
            mFeed.answer("config", config);
        }
    }

    private static List<Integer> statuses(List<HttpReply> replies) {
        return replies.stream().map(HttpReply::status).toList();
    }

    /** Guards against a later request that is handled by an older version than an earlier one. */
    @Test
    public void aRequestThatWasOvertakenIsNotDecidedByANewerConfiguration() {
        List<HttpReply> waiting = get("/added/");
        mClock.advance(300);
        assertEquals(statuses(get("/dropped/")), List.of(200));
        answerAllReads(config(2, "/kept/", "/added/"));

        assertEquals(statuses(waiting), List.of(503));
        assertEquals(statuses(get("/added/")), List.of(200));
    }

    @Test
    public void aRequestThatWasNotOvertakenIsDecidedByANewerConfiguration() {
        assertEquals(statuses(get("/dropped/")), List.of(200));
        List<HttpReply> waiting = get("/added/");
        mClock.advance(100);
        assertEquals(statuses(get("/dropped/")), List.of(200), "at nearly the same time");
        mClock.advance(200);
        answerAllReads(config(2, "/kept/", "/added/"));

        assertEquals(statuses(waiting), List.of(200));
    }

    /** Guards against requests that were received before a suspension and are decided after it. */
    @Test
    public void aSuspensionCountsAsTimeInWhichARequestIsOvertaken() {
        List<HttpReply> waiting = get("/added/");
        mClock.stepWallClock(2000);
        assertEquals(statuses(get("/dropped/")), List.of(200));
        answerAllReads(config(2, "/kept/", "/added/"));

        assertEquals(statuses(waiting), List.of(503));
    }

    /** Guards against a 404 for a route that was added after the read had been answered. */
    @Test
    public void aRequestIsNotRejectedByAReadThatWasSentBeforeItArrived() {
        List<HttpReply> first = get("/added/");
        mClock.advance(40);
        List<HttpReply> second = get("/added/");
        mFeed.answerEmpty();
        assertEquals(statuses(first), List.of(404));
        assertEquals(statuses(second), List.of(), "its own read is pending");
        mClock.advance(20);
        answerAllReads(config(2, "/kept/", "/added/"));

        assertEquals(statuses(second), List.of(200));
    }

    /** Guards against a 404 for a route that is on the next page of the changes. */
    @Test
    public void aRequestIsNotRejectedByAPageThatOthersFollow() {
        List<HttpReply> waiting = get("/added/");
        mFeed.answerPartly();
        assertEquals(statuses(waiting), List.of());
        mClock.advance(60);
        answerAllReads(config(2, "/kept/", "/added/"));

        assertEquals(statuses(waiting), List.of(200));
    }

    /** Guards against a dropped route that is served by a version in the middle of a page. */
    @Test
    public void aWaitingRequestIsDecidedByTheLastConfigurationOfAPage() {
        HeldFeed<OperatorChange> feed = new HeldFeed<>();
        CallerServiceFixture other =
                new CallerServiceFixture(mClock, mLog, feed, new FakeJobQueries());
        readConfig(other, feed, config(2, "/kept/", "/dropped/"));
        other.send("POST", "/kept/00000000000000aa", BODY, Optional.empty());
        mLog.deliverAnswers();
        readJournal(mNode);
        List<HttpReply> waiting = get("/dropped/");
        mClock.advance(60);
        assertEquals(statuses(waiting), List.of(), "the node has a job of version 2");
        mFeed.answerAll(
                "config",
                List.of(config(2, "/kept/", "/dropped/"), config(3, "/kept/", "/added/")));
        answerAllReads(config(3, "/kept/", "/added/"));

        assertEquals(statuses(waiting), List.of(404));
    }

    /** Guards against requests that wait for a read long after the caller could have retried. */
    @Test
    public void aRequestWaitsForAReadOnlyForABoundedTime() {
        List<HttpReply> waiting = get("/added/");
        mClock.advance(1000);

        assertEquals(statuses(waiting), List.of(503));
    }

    /** Guards against a submission that is accepted by the configuration of one in flight. */
    @Test
    public void aRepeatedSubmissionIsDecidedByTheConfigurationOfItsOwnArrival() {
        String path = "/dropped/00000000000000aa";
        List<HttpReply> first = mNode.send("POST", path, BODY, Optional.empty());
        assertEquals(statuses(first), List.of(), "the store hasn't answered");
        readConfig(mNode, mFeed, config(2, "/kept/"));
        List<HttpReply> repeated = mNode.send("POST", path, BODY, Optional.empty());
        answerAllReads(config(2, "/kept/"));
        assertEquals(statuses(repeated), List.of(404));
        mLog.deliverAnswers();

        assertEquals(statuses(first), List.of(200));
    }
}
