package org.foxtailplank.node.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.foxtailplank.http.HttpReply;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.node.FakeJobQueries;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.journal.JournalPartitions;
import org.foxtailplank.organisation.KeyLifetime;
import org.foxtailplank.organisation.Organisation;
import org.foxtailplank.organisation.Organisations;
import org.foxtailplank.organisation.ResourceCap;
import org.foxtailplank.port.ChangeFeed;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.OperatorChange;
import org.foxtailplank.port.RouteSettings;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which API keys a node accepts, and for which jobs. */
public class ApiKeysTest {
    private static final String JOB = "00000000000000aa";
    private static final String OTHER_JOB = "00000000000000bb";
    private static final String BODY = "{\"spec\":\"a\",\"phases\":[{\"count\":1}]}";
    private static final long REVOCATION_MS = 5000;

    private FakeTime mClock;
    private FakeSharedLog mLog;
    private Feed mFeed;
    private CallerServiceFixture mService;

    /** Reads return the newest configuration unless the feed is unavailable. */
    private static final class Feed implements ChangeFeed<OperatorChange> {
        private FleetConfig mConfig;
        private boolean mUnavailable;
        private int mReads;

        @Override
        public void latest(Consumer<Result<OperatorChange>> callback) {
            changes(0, 0, callback);
        }

        @Override
        public void changes(long position, long waitMs, Consumer<Result<OperatorChange>> callback) {
            mReads++;
            if (mUnavailable) {
                callback.accept(new Failed<>("unavailable"));
                return;
            }
            OperatorChange change = new OperatorChange.NewConfig(mConfig);
            callback.accept(
                    new Page<>(List.of(new Item<>("config", Optional.of(change))), 1, true));
        }
    }

    @BeforeMethod
    public void setUp() {
        mClock = new FakeTime();
        mLog = new FakeSharedLog();
        mFeed = new Feed();
        mService =
                new CallerServiceFixture(
                        mClock,
                        mLog,
                        mFeed,
                        new FakeJobQueries(),
                        new KeyLifetime(OptionalLong.of(REVOCATION_MS)));
        publish(1, organisation("a", "k1", "k2"), organisation("b", "k3"));
        mService.readOperatorChanges();
    }

    private static Organisation organisation(String name, String... keys) {
        return new Organisation(name, Set.of(keys), 1, ResourceCap.UNLIMITED);
    }

    private void publish(long version, Organisation... organisations) {
        QueuePolicy policy = new QueuePolicy(0, 2, 1.6, 600, Optional.empty());
        List<RouteSettings> routes =
                List.of(
                        new RouteSettings("q", "h", "/q/", "s", policy, true),
                        new RouteSettings("p", "h", "/public/", "s", policy, false));
        try {
            Organisations all = Organisations.of(Arrays.asList(organisations));
            mFeed.mConfig = new FleetConfig(version, routes, List.of(), 1000, all);
        } catch (Organisations.DuplicateException e) {
            throw new AssertionError(e);
        }
    }

    private int status(String key, String method, String path) {
        byte[] body = BODY.getBytes(StandardCharsets.UTF_8);
        List<HttpReply> replies =
                key.isEmpty()
                        ? mService.send(method, path, body, Optional.empty())
                        : mService.sendWithKey(method, path, body, key);
        for (int i = 0; i < 30 && replies.isEmpty(); i++) {
            mLog.deliverAnswers();
            mClock.advance(100);
        }
        assertEquals(replies.size(), 1);
        return replies.get(0).status();
    }

    @DataProvider
    public Object[][] requests() {
        return new Object[][] {
            {"POST", "/q/" + OTHER_JOB},
            {"POST", "/q/" + JOB},
            {"GET", "/q/" + JOB},
            {"GET", "/q/"},
            {"DELETE", "/q/" + JOB},
        };
    }

    @Test(dataProvider = "requests")
    public void aRequestWithoutAKnownKeyIsUnauthorized(String method, String path) {
        assertEquals(status("k1", "POST", "/q/" + JOB), 200);

        assertEquals(status("", method, path), 401);
        assertEquals(status("unknown", method, path), 401);
        assertEquals(status("k2", method, path), 200);
    }

    @Test
    public void aPublicQueueNeedsNoKeyAndIgnoresOne() {
        assertEquals(status("", "POST", "/public/" + JOB), 200);
        assertEquals(status("unknown", "GET", "/public/" + JOB), 200);
    }

    /**
     * Guards against a key that is rejected by a node whose configuration is older than the key.
     */
    @Test
    public void aKeyThatWasJustAddedIsAccepted() {
        publish(2, organisation("a", "k1", "k4"));

        assertEquals(status("k4", "POST", "/q/" + JOB), 200);
    }

    @Test
    public void anUnknownKeyIsNotCalledUnauthorizedWhileTheConfigurationCannotBeRead() {
        mFeed.mUnavailable = true;

        assertEquals(status("k4", "POST", "/q/" + JOB), 503);
        assertEquals(status("k1", "POST", "/q/" + JOB), 200);
    }

    @Test(dataProvider = "requests")
    public void aRevokedKeyIsUnauthorized(String method, String path) {
        assertEquals(status("k1", "POST", "/q/" + JOB), 200);
        publish(2, organisation("a", "k2"), organisation("b", "k3"));
        mService.readOperatorChanges();

        assertEquals(status("k1", method, path), 401);
        assertEquals(status("k2", method, path), 200);
    }

    /** Guards against a node that is cut off and accepts a key long after its revocation. */
    @Test(dataProvider = "requests")
    public void aNodeThatCannotConfirmItsConfigurationRejectsKeys(String method, String path) {
        assertEquals(status("k1", "POST", "/q/" + JOB), 200);
        mService.readOperatorChanges();
        mFeed.mUnavailable = true;
        mClock.advance(REVOCATION_MS);

        assertEquals(status("k1", method, path), 503);
        assertEquals(status("", "GET", "/public/" + JOB), 403);
        assertEquals(status("", "POST", "/public/" + OTHER_JOB), 200);
        mFeed.mUnavailable = false;
        mService.readOperatorChanges();
        assertEquals(status("k1", method, path), 200);
    }

    /** Guards against a VM that accepts a revoked key after it was suspended. */
    @Test
    public void aNodeThatWasSuspendedConfirmsItsConfigurationFirst() {
        publish(2, organisation("b", "k3"));
        mClock.stepWallClock(REVOCATION_MS);

        assertEquals(status("k1", "POST", "/q/" + JOB), 401);
        assertEquals(status("k3", "POST", "/q/" + JOB), 200);
    }

    /** Guards against a flood of wrong keys that overloads the store. */
    @Test
    public void requestsWithUnknownKeysShareReads() {
        HeldReads held = new HeldReads();
        CallerServiceFixture service =
                new CallerServiceFixture(
                        mClock, mLog, held, new FakeJobQueries(), KeyLifetime.UNLIMITED);
        service.readOperatorChanges();
        held.answerAll(mFeed.mConfig);
        List<List<HttpReply>> replies = new ArrayList<>();
        int reads = 0;
        for (int i = 0; i < 1000; i++) {
            replies.add(service.sendWithKey("GET", "/q/", new byte[0], "wrong" + i));
            replies.add(service.sendWithKey("GET", "/q/", new byte[0], "wrong" + i));
            mClock.advance(1);
            reads += held.answerAll(mFeed.mConfig);
        }
        mClock.advance(20);
        reads += held.answerAll(mFeed.mConfig);

        assertTrue(reads <= 51, reads + " reads in 1 s");
        replies.forEach(r -> assertEquals(r.get(0).status(), 401));
    }

    /** Holds reads back until the test answers them. */
    private static final class HeldReads implements ChangeFeed<OperatorChange> {
        private final List<Consumer<Result<OperatorChange>>> mCallbacks = new ArrayList<>();

        @Override
        public void latest(Consumer<Result<OperatorChange>> callback) {
            mCallbacks.add(callback);
        }

        @Override
        public void changes(long position, long waitMs, Consumer<Result<OperatorChange>> callback) {
            mCallbacks.add(callback);
        }

        int answerAll(FleetConfig config) {
            List<Consumer<Result<OperatorChange>>> callbacks = List.copyOf(mCallbacks);
            mCallbacks.clear();
            OperatorChange change = new OperatorChange.NewConfig(config);
            Page<OperatorChange> page =
                    new Page<>(List.of(new Item<>("config", Optional.of(change))), 1, true);
            callbacks.forEach(c -> c.accept(page));
            return callbacks.size();
        }
    }

    @Test
    public void aJobCannotBeReadOrCancelledByAnotherOrganisation() {
        assertEquals(status("k1", "POST", "/q/" + JOB), 200);

        assertEquals(status("k3", "GET", "/q/" + JOB), 403);
        assertEquals(status("k3", "DELETE", "/q/" + JOB), 403);
        assertEquals(status("k3", "POST", "/q/" + JOB), 403);
        assertEquals(status("k2", "GET", "/q/" + JOB), 200);
    }

    /** Guards against access without a key by naming a job in the path of a public queue. */
    @Test
    public void aJobOfAKeyedQueueCannotBeAccessedThroughAPublicQueue() {
        assertEquals(status("k1", "POST", "/q/" + JOB), 200);

        assertEquals(status("", "GET", "/public/" + JOB), 403);
        assertEquals(status("", "DELETE", "/public/" + JOB), 403);
    }

    /** Guards against keys that operators or other services can read in logs and metrics. */
    @Test
    public void noKeyIsPartOfLogsMetricsOrTheJournal() {
        publish(2, organisation("a", "secret-valid"), organisation("b", "secret-other"));
        assertEquals(status("secret-valid", "POST", "/q/" + JOB), 200);
        assertEquals(status("secret-valid", "GET", "/q/" + JOB), 200);
        assertEquals(status("secret-other", "DELETE", "/q/" + JOB), 403);
        assertEquals(status("secret-unknown", "GET", "/q/"), 401);
        mFeed.mUnavailable = true;
        mClock.advance(REVOCATION_MS);
        assertEquals(status("secret-valid", "GET", "/q/" + JOB), 503);

        String output = mService.output();
        assertTrue(output.contains("not-routed"), output);
        assertTrue(output.contains("organisation_a_answers_2xx 2"), output);
        assertFalse(output.contains("secret"), output);
        for (byte[] record : mLog.records(JournalPartitions.PRIMARY)) {
            assertFalse(new String(record, StandardCharsets.ISO_8859_1).contains("secret"));
        }
    }

    @Test
    public void aJobBelongsToItsOrganisationAfterItsKeyWasReplaced() {
        assertEquals(status("k1", "POST", "/q/" + JOB), 200);
        publish(2, organisation("a", "k9"), organisation("b", "k3"));

        assertEquals(status("k9", "DELETE", "/q/" + JOB), 200);
    }
}
