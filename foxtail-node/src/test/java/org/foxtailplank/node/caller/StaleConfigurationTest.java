package org.foxtailplank.node.caller;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.http.HttpReply;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.node.FakeFeed;
import org.foxtailplank.node.FakeJobQueries;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.port.ChangeFeed;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.OperatorChange;
import org.foxtailplank.port.RouteSettings;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests a node whose replica has jobs of a configuration that it couldn't read yet. */
public class StaleConfigurationTest {
    private static final String JOB = "00000000000000aa";
    private static final String OTHER_JOB = "00000000000000bb";
    private static final String BODY = "{\"spec\":\"a\",\"phases\":[{\"count\":1}]}";

    private FakeTime mClock;
    private FakeSharedLog mLog;
    private UnreliableFeed mCurrentFeed;
    private UnreliableFeed mStaleFeed;
    private CallerServiceFixture mCurrent;
    private CallerServiceFixture mStale;

    /** Operator changes that can't be read while the feed is unavailable. */
    private static final class UnreliableFeed implements ChangeFeed<OperatorChange> {
        private final FakeFeed<OperatorChange> mFeed = new FakeFeed<>();
        private boolean mUnavailable;

        @Override
        public void latest(Consumer<Result<OperatorChange>> callback) {
            changes(0, 0, callback);
        }

        @Override
        public void changes(long position, long waitMs, Consumer<Result<OperatorChange>> callback) {
            if (mUnavailable) {
                callback.accept(new Failed<>("unavailable"));
            } else {
                mFeed.latest(callback);
            }
        }
    }

    @BeforeMethod
    public void setUp() {
        mClock = new FakeTime();
        mLog = new FakeSharedLog();
        mCurrentFeed = new UnreliableFeed();
        mStaleFeed = new UnreliableFeed();
        mCurrent = new CallerServiceFixture(mClock, mLog, mCurrentFeed, new FakeJobQueries());
        mStale = new CallerServiceFixture(mClock, mLog, mStaleFeed, new FakeJobQueries());
        publish(1, "/kept/", "/dropped/");
        mCurrent.readOperatorChanges();
        mStale.readOperatorChanges();
        mStaleFeed.mUnavailable = true;
        publish(2, "/kept/", "/added/");
        mCurrent.readOperatorChanges();
    }

    private void publish(long version, String... prefixes) {
        QueuePolicy policy = new QueuePolicy(0, 2, 1.6, 600, Optional.empty());
        List<RouteSettings> routes = new ArrayList<>();
        for (String p : prefixes) {
            routes.add(new RouteSettings(p, "h", p, "s", policy, false));
        }
        FleetConfig config = new FleetConfig(version, routes, List.of(), 1000);
        mCurrentFeed.mFeed.put("config", new OperatorChange.NewConfig(config));
        mStaleFeed.mFeed.put("config", new OperatorChange.NewConfig(config));
    }

    private int status(CallerServiceFixture node, String method, String path) {
        byte[] body = BODY.getBytes(StandardCharsets.UTF_8);
        List<HttpReply> replies = node.send(method, path, body, Optional.empty());
        for (int i = 0; i < 30 && replies.isEmpty(); i++) {
            mLog.deliverAnswers();
            mClock.advance(100);
        }
        assertEquals(replies.size(), 1);
        return replies.get(0).status();
    }

    private void readJournal(CallerServiceFixture node) {
        node.reader().refresh(read -> {});
        mLog.deliverAnswers();
    }

    /** Guards against a node that starts a job of a newer configuration and accepts by its own. */
    @Test
    public void aNodeWithAJobOfANewerConfigurationRejectsRequestsUntilItHasThatConfiguration() {
        assertEquals(status(mStale, "GET", "/dropped/"), 200, "while nothing newer is known");
        assertEquals(status(mCurrent, "POST", "/added/" + JOB), 200);
        readJournal(mStale);

        assertEquals(status(mStale, "GET", "/dropped/"), 503);
        assertEquals(status(mStale, "POST", "/dropped/" + OTHER_JOB), 503);
        mStaleFeed.mUnavailable = false;
        mStale.readOperatorChanges();
        assertEquals(status(mStale, "GET", "/dropped/"), 404);
        assertEquals(status(mStale, "GET", "/kept/"), 200);
    }

    @Test
    public void aNodeWithTheNewestConfigurationServesAlthoughItCannotReadTheStore() {
        assertEquals(status(mCurrent, "POST", "/added/" + JOB), 200);
        readJournal(mCurrent);
        mCurrentFeed.mUnavailable = true;

        assertEquals(status(mCurrent, "POST", "/kept/" + OTHER_JOB), 200);
    }
}
