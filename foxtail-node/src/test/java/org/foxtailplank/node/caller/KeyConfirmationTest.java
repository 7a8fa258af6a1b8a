package org.foxtailplank.node.caller;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.foxtailplank.http.HttpReply;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.node.FakeJobQueries;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.HeldFeed;
import org.foxtailplank.organisation.KeyLifetime;
import org.foxtailplank.organisation.Organisation;
import org.foxtailplank.organisation.Organisations;
import org.foxtailplank.organisation.ResourceCap;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.OperatorChange;
import org.foxtailplank.port.RouteSettings;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests requests whose key must be confirmed before it is accepted. */
public class KeyConfirmationTest {
    private FakeTime mClock;
    private FakeSharedLog mLog;
    private HeldFeed<OperatorChange> mFeed;
    private CallerServiceFixture mNode;

    @BeforeMethod
    public void setUp() throws Organisations.DuplicateException {
        mClock = new FakeTime();
        mLog = new FakeSharedLog();
        mFeed = new HeldFeed<>();
        KeyLifetime lifetime = new KeyLifetime(OptionalLong.of(5000));
        mNode = new CallerServiceFixture(mClock, mLog, mFeed, new FakeJobQueries(), lifetime);
        mNode.followOperatorChanges();
        mFeed.answer("config", config());
        mClock.advance(5000);
        mNode.reader().refresh(read -> {});
        mLog.deliverAnswers();
    }

    private static OperatorChange config() throws Organisations.DuplicateException {
        QueuePolicy policy = new QueuePolicy(0, 2, 1.6, 600, Optional.empty());
        RouteSettings route = new RouteSettings("q", "h", "/q/", "s", policy, true);
        Organisation owner = new Organisation("a", Set.of("k"), 1, ResourceCap.UNLIMITED);
        Organisations all = Organisations.of(List.of(owner));
        return new OperatorChange.NewConfig(
                new FleetConfig(7, List.of(route), List.of(), 1000, all));
    }

    private List<HttpReply> get() {
        return mNode.sendWithKey("GET", "/q/", new byte[0], "k");
    }

    private static List<Integer> statuses(List<HttpReply> replies) {
        return replies.stream().map(HttpReply::status).toList();
    }

    @Test
    public void aConfirmationIsAwaitedUntilAReadSucceeds() {
        List<HttpReply> waiting = get();
        mClock.advance(100);
        mFeed.answerEmpty();
        assertEquals(statuses(waiting), List.of(), "the long poll was sent 5 s ago");
        mFeed.answerEmpty();

        assertEquals(statuses(waiting), List.of(200));
    }

    /** Guards against requests that each wait while the store is unavailable for long. */
    @Test
    public void noConfirmationIsAwaitedAfterAReadHasFailed() {
        mFeed.fail();
        mClock.advance(200);
        mFeed.fail();

        assertEquals(statuses(get()), List.of(503));
    }
}
