package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.foxtailplank.adapter.PlatformTimeouts;
import org.foxtailplank.adapter.UsersPlatform;
import org.foxtailplank.adapter.standin.HttpFakeWorker;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.http.HttpClient;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.Timetable;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.OperatorFollower;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.ChangeFeed;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.OperatorChange;
import org.foxtailplank.port.ServiceConfig;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.port.WavePublisher;
import org.foxtailplank.port.WorkerClient;
import org.foxtailplank.schedule.ScheduleLimits;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests an owner that polls over HTTP a worker whose answers arrive after the timeout. */
public class LateAnswerTest {
    private static final String SERVICE = "ledger";
    private static final TaskName TASK = new TaskName("00000000000000aa", 0, 0, 0);
    private static final ScheduleLimits LIMITS = new ScheduleLimits(3000, 250, 200);
    private static final int CONNECT_TIMEOUT_MS = 2000;
    private static final int CONNECTIONS = 4;
    private static final long WORKER_TIMEOUT_MS = 200;
    private static final long LATE_MS = 300;
    private static final long RUN_MS = 20;
    private static final long STEP_MS = 10;
    private static final long OUTCOME_TIMEOUT_S = 60;

    private final FakeSharedLog mLog = new FakeSharedLog();
    private final FakeDirectory mDirectory = new FakeDirectory();
    private final CompletableFuture<Outcome> mOutcome = new CompletableFuture<>();
    private MultiThreadIoEventLoopGroup mGroup;
    private EventLoop mLoop;
    private FakeTime mTime;
    private FakeWorkers mWorkers;

    /**
     * What had happened when the end was acknowledged or the task was started again.
     *
     * @param starts the starts, as {@code worker attempt}
     * @param listedEnds number of answers in which the first worker had listed the end
     */
    private record Outcome(List<String> starts, int listedEnds) {}

    @BeforeMethod
    public void setUp() throws IOException {
        mGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        mLoop = (EventLoop) mGroup.next();
        mTime = new FakeTime();
        mWorkers = new FakeWorkers(mTime);
        WorkerClient workers = new LateWorkers();
        for (String id : List.of("w1", "w2")) {
            mDirectory.add(id, SERVICE, new HttpFakeWorker(mLoop, id, workers).address());
        }
    }

    @AfterMethod
    public void tearDown() {
        mGroup.shutdownGracefully();
    }

    /**
     * Delays the answers to polls of the worker that receives the first start. Its run ends as done
     * shortly after its start.
     */
    private final class LateWorkers implements WorkerClient {
        private final WorkerClient mDelegate = mWorkers.connect();
        private final Set<String> mStarts = new LinkedHashSet<>();
        private Optional<String> mLateWorker = Optional.empty();
        private int mListedEnds;

        @Override
        public void start(
                WorkerAddress to, StartCommand command, Consumer<CommandResponse> callback) {
            mDelegate.start(to, command, callback);
            boolean isNew = mStarts.add(to.id() + ' ' + command.run().attempt());
            if (mStarts.size() > 1) {
                complete();
            } else if (isNew) {
                mLateWorker = Optional.of(to.id());
                mTime.after(RUN_MS, () -> mWorkers.finish(to.id(), TASK));
            }
        }

        @Override
        public void stop(WorkerAddress to, RunCommand command, Consumer<CommandResponse> callback) {
            mDelegate.stop(to, command, callback);
        }

        @Override
        public void throttle(
                WorkerAddress to,
                RunCommand command,
                int percent,
                Consumer<CommandResponse> callback) {
            mDelegate.throttle(to, command, percent, callback);
        }

        @Override
        public void poll(WorkerAddress to, PollCommand command, Consumer<PollResponse> callback) {
            if (!mLateWorker.equals(Optional.of(to.id()))) {
                mDelegate.poll(to, command, callback);
                return;
            }
            if (command.acknowledged() > 0) {
                complete();
            }
            long delayMs = WORKER_TIMEOUT_MS + command.waitMs() + LATE_MS;
            CompletableFuture<PollResponse> answer = new CompletableFuture<>();
            answer.thenAccept(a -> mListedEnds += a.ended().size());
            mDelegate.poll(to, command, answer::complete);
            mLoop.schedule(() -> answer.thenAccept(callback), delayMs, TimeUnit.MILLISECONDS);
        }

        private void complete() {
            mOutcome.complete(new Outcome(List.copyOf(mStarts), mListedEnds));
        }
    }

    private WorkerClient workerClient() {
        HttpClient client = new HttpClient(mLoop, CONNECT_TIMEOUT_MS, CONNECTIONS);
        PlatformTimeouts timeouts =
                new PlatformTimeouts(1000, 1000, 1000, 1000, WORKER_TIMEOUT_MS, 1000);
        return new UsersPlatform(
                        client,
                        client,
                        client,
                        client,
                        new UsersPlatform.PlatformAddresses("127.0.0.1:1", "127.0.0.1:1", ""),
                        timeouts,
                        mTime::nowMs)
                .workerClient();
    }

    private static byte[] job() {
        TaskStep step =
                new TaskStep(
                        1,
                        Resources.of(1, 1, 0),
                        60_000,
                        List.of(),
                        PlacementConstraints.ANYWHERE,
                        RunMode.PLAIN);
        JobDefinition definition =
                new JobDefinition(
                        TASK.job(),
                        "queue",
                        SERVICE,
                        "text",
                        List.of(step),
                        Timetable.AT_ONCE,
                        new QueuePolicy(0, 2, 1.6, 600, Optional.empty()),
                        1,
                        0,
                        "");
        return JournalCodec.encode(new JobAccepted(definition));
    }

    /** Starts an owner with one job. Must be called on the event loop. */
    private void startOwner() {
        ServiceConfig service = new ServiceConfig(SERVICE, true, false);
        OperatorChange config =
                new OperatorChange.NewConfig(new FleetConfig(1, List.of(), List.of(service), 1000));
        OperatorFollower operator =
                new OperatorFollower(
                        new FixedFeed<>(
                                List.of(new ChangeFeed.Item<>("config", Optional.of(config)))),
                        mTime,
                        mTime,
                        NodeLog.silent(mTime));
        operator.refresh();
        WavePublisher wavePublisher =
                (number, completed, callback) -> callback.accept(new SharedLog.Stored(0, 1));
        OwnerSession[] session = new OwnerSession[1];
        OwnerContext context =
                FakeOwnerContext.of(
                        mTime,
                        mLog,
                        true,
                        LIMITS,
                        operator,
                        new OwnerContext.Platform(
                                mDirectory, workerClient(), new NoVms(), null, wavePublisher),
                        (record, job) -> session[0].applyRecord(record, job));
        session[0] = new OwnerSession(context, new Takeover(1, true, true), () -> {});
        session[0].start();
        session[0].storeHandedOver(job(), outcome -> {});
        mLoop.scheduleWithFixedDelay(() -> step(context), STEP_MS, STEP_MS, TimeUnit.MILLISECONDS)
                .addListener(this::failIfThrown);
    }

    /**
     * Advances the owner's and the workers' clock. It never runs faster than the clock of the HTTP
     * client's timeouts, and stands still while the process does: a lease can't expire in a pause.
     */
    private void step(OwnerContext context) {
        mTime.advance(STEP_MS);
        context.reader().refresh(read -> {});
        mLog.deliverAnswers();
    }

    private void failIfThrown(Future<?> task) {
        if (!task.isCancelled() && task.cause() != null) {
            mOutcome.completeExceptionally(task.cause());
        }
    }

    /**
     * Guards against a second start of a task whose worker listed its end, in answers that arrived
     * after the timeout and were discarded until the lease expired.
     */
    @Test
    public void aTaskIsNotStartedAgainAfterItsWorkerListedItsEndInLateAnswers() throws Exception {
        mLoop.submit(this::startOwner).addListener(this::failIfThrown);

        Outcome outcome = mOutcome.get(OUTCOME_TIMEOUT_S, TimeUnit.SECONDS);

        assertEquals(
                outcome.starts().size(),
                1,
                outcome.starts()
                        + " with the end in "
                        + outcome.listedEnds()
                        + " answers of the first worker");
    }
}
