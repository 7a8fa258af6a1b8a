package org.foxtailplank.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.platform.PlatformException.Effect;
import org.foxtailplank.standin.PlatformOptions;
import org.foxtailplank.standin.PlatformStandin;
import org.foxtailplank.standin.SmallDeployment;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The log client over real HTTP, against a platform with faults. */
public final class LogClientTest {

    private static final String STREAM = "fleet";
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(300);
    private static final Duration PATIENT = Duration.ofSeconds(60);

    private final AtomicInteger mCalls = new AtomicInteger();
    private ActorSystem mSystem;
    private PlatformStandin mStandin;
    private PlatformLog mPlain;
    private LogClient mClient;

    @BeforeClass
    public void start() throws Exception {
        mSystem = ActorSystem.create("log-client-test");
    }

    @AfterClass
    public void stop() throws Exception {
        mSystem.terminate();
        mSystem.getWhenTerminated().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    @BeforeMethod
    public void startStandin() throws Exception {
        mStandin =
                PlatformStandin.start(
                        SmallDeployment.settings(1, URI.create("http://127.0.0.1:1")),
                        PlatformOptions.quick(),
                        mSystem);
        mPlain = HttpPlatform.at(mStandin.address(), Duration.ofSeconds(10), mSystem).log();
        get(mPlain.append(STREAM, List.of(entry("before"))));
        mCalls.set(0);
        mClient = client(400, PATIENT);
    }

    @AfterMethod
    public void stopStandin() {
        mClient.close();
        mStandin.close();
    }

    @Test
    public void appendsOfManyCallersShareCalls() throws Exception {
        List<CompletionStage<AppendResult>> appends = appendMany(500);
        checkEachStandsOnce(appends);
        assertTrue(mCalls.get() < 100, "calls: " + mCalls);
    }

    /**
     * Half of the platform's answers are lost after the append took effect. An operator who is told
     * of a failure would publish again; here each caller is told the offset of its record, and each
     * record stands on the log once.
     */
    @Test
    public void lostAnswersAreResolvedAndNothingStandsTwice() throws Exception {
        fault("{'target':'log','kind':'lose-answer','probability':0.5,'times':16}");
        checkEachStandsOnce(appendInRounds(20));
        assertTrue(mCalls.get() >= 20, "calls: " + mCalls);
    }

    /** The same with answers that are cut short, and with some calls refused in between. */
    @Test
    public void truncatedAnswersAndRefusalsAreResolved() throws Exception {
        fault("{'target':'log','kind':'truncate','probability':0.3,'times':8}");
        fault("{'target':'log','kind':'refuse','probability':0.3,'times':8}");
        checkEachStandsOnce(appendInRounds(20));
    }

    /**
     * The platform takes calls so slowly that each is given up, and carries them out afterwards. A
     * client that tried again after its timeout would append a second time.
     */
    @Test
    public void callsThatTakeEffectAfterTheirTimeoutAreFound() throws Exception {
        fault("{'target':'log','kind':'delay','delayMs':600,'times':2}");
        checkEachStandsOnce(appendMany(10));
    }

    @Test
    public void appendInAnOutageIsRefusedInTheEnd() throws Exception {
        fault("{'target':'log','kind':'refuse'}");
        LogClient hasty = client(400, Duration.ofMillis(500));
        assertEquals(effectOf(hasty.append(STREAM, List.of(entry("a")))), Effect.NONE);
        hasty.close();
    }

    @Test
    public void appendThatIsNeverAnsweredIsUnknownInTheEnd() throws Exception {
        get(mClient.append(STREAM, List.of(entry("a"))));
        LogClient hasty = client(400, Duration.ofMillis(1000));
        get(hasty.append(STREAM, List.of(entry("b"))));
        fault("{'target':'log','kind':'hang'}");
        assertEquals(effectOf(hasty.append(STREAM, List.of(entry("c")))), Effect.UNKNOWN);
        hasty.close();
    }

    @Test
    public void budgetLimitsTheCalls() throws Exception {
        LogClient limited = client(10, PATIENT);
        long started = System.nanoTime();
        for (int i = 0; i < 15; i++) {
            get(limited.append(STREAM, List.of(entry("r" + i))));
        }
        double seconds = (System.nanoTime() - started) / 1e9;
        limited.close();
        assertTrue(mCalls.get() <= 10 * seconds + 6, mCalls + " calls in " + seconds + " s");
    }

    private List<CompletionStage<AppendResult>> appendMany(int count) {
        List<CompletionStage<AppendResult>> appends = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            appends.add(mClient.append(STREAM, List.of(entry("r" + i))));
        }
        return appends;
    }

    /** Appends five records at once, waits for them, and so on. */
    private List<CompletionStage<AppendResult>> appendInRounds(int rounds) throws Exception {
        List<CompletionStage<AppendResult>> appends = new ArrayList<>();
        for (int i = 0; i < rounds * 5; i++) {
            appends.add(mClient.append(STREAM, List.of(entry("r" + i))));
            if (i % 5 == 4) {
                get(appends.get(i));
            }
        }
        return appends;
    }

    private void checkEachStandsOnce(List<CompletionStage<AppendResult>> appends) throws Exception {
        List<Long> offsets = new ArrayList<>();
        for (CompletionStage<AppendResult> append : appends) {
            offsets.add(get(append).first());
        }
        get(Http.get(mSystem).singleRequest(HttpRequest.DELETE(mStandin.address() + "/faults")));
        List<StoredEntry> stored = get(mPlain.read(STREAM, 1, 5000, Duration.ZERO)).entries();
        List<String> ids = stored.stream().map(e -> e.id().value()).toList();
        assertEquals(ids.size(), appends.size() + 1);
        assertEquals(new HashSet<>(ids).size(), ids.size(), "a record stands twice");
        for (int i = 0; i < offsets.size(); i++) {
            assertEquals(ids.get(offsets.get(i).intValue() - 1), "r" + i);
        }
    }

    private LogClient client(int appendsPerSecond, Duration giveUp) {
        PlatformLog http = HttpPlatform.at(mStandin.address(), CALL_TIMEOUT, mSystem).log();
        LogClientOptions options =
                new LogClientOptions(1, appendsPerSecond, CALL_TIMEOUT, giveUp, giveUp, 7);
        return LogClient.over(counting(http), options);
    }

    private PlatformLog counting(PlatformLog log) {
        return new PlatformLog() {
            @Override
            public CompletionStage<AppendResult> append(String stream, List<LogEntry> entries) {
                mCalls.incrementAndGet();
                return log.append(stream, entries);
            }

            @Override
            public CompletionStage<ReadResult> read(
                    String stream, long from, int limit, Duration wait) {
                return log.read(stream, from, limit, wait);
            }
        };
    }

    private void fault(String json) throws Exception {
        HttpRequest request =
                HttpRequest.POST(mStandin.address() + "/faults")
                        .withEntity(ContentTypes.APPLICATION_JSON, json.replace('\'', '"'));
        assertEquals(get(Http.get(mSystem).singleRequest(request)).status().intValue(), 202);
    }

    private static Effect effectOf(CompletionStage<?> call) {
        ExecutionException e = expectThrows(ExecutionException.class, () -> get(call));
        return ((PlatformException) e.getCause()).effect();
    }

    private static <T> T get(CompletionStage<T> stage) throws Exception {
        CompletableFuture<T> future = stage.toCompletableFuture();
        return future.get(60, TimeUnit.SECONDS);
    }

    private static LogEntry entry(String id) {
        return new LogEntry(RecordId.of(id), new byte[] {1});
    }
}
