package org.foxtailplank.node.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.Timetable;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.FakeJobQueries;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.LinkRate;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.journal.Handover;
import org.foxtailplank.node.journal.JournalPartitions;
import org.foxtailplank.node.journal.JournalPosition;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.journal.StoreOutcome;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.node.peer.OwnerMonitor.KnownOwner;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.WorkerClient;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests starts that an owner relays through a follower, over the loopback interface. */
public class StartRelayTest {
    private static final long TOKEN = 7;
    private static final String TEXT = "the job's text";
    private static final TaskName TASK = new TaskName("00000000000000aa", 0, 0, 3);
    private static final WorkerClient.WorkerAddress WORKER =
            new WorkerClient.WorkerAddress("w1", "127.0.0.1:1");
    private static final WorkerClient.StartCommand COMMAND =
            new WorkerClient.StartCommand(
                    new WorkerClient.RunCommand(TASK, 2, TOKEN), "", "checkpoint", "ticket", 9000);

    private final BlockingQueue<WorkerClient.StartCommand> mStarts = new LinkedBlockingQueue<>();
    private MultiThreadIoEventLoopGroup mGroup;
    private EventLoop mLoop;
    private JobRegistry mRegistry;
    private JournalStream mStream;
    private OwnerLink mLink;
    private Optional<CommandOutcome> mWorkerAnswer;
    private NodeLog mOut;

    /** Answers starts, or leaves them unanswered. */
    private final class FakeWorkerClient implements WorkerClient {
        @Override
        public void start(
                WorkerAddress worker, StartCommand command, Consumer<CommandResponse> callback) {
            assertEquals(worker, WORKER);
            mStarts.add(command);
            mWorkerAnswer.ifPresent(o -> callback.accept(new CommandResponse(o, 1)));
        }

        @Override
        public void stop(
                WorkerAddress worker, RunCommand command, Consumer<CommandResponse> callback) {
            throw new AssertionError("only starts are relayed");
        }

        @Override
        public void throttle(
                WorkerAddress worker,
                RunCommand command,
                int percent,
                Consumer<CommandResponse> callback) {
            throw new AssertionError("only starts are relayed");
        }

        @Override
        public void poll(
                WorkerAddress worker, PollCommand command, Consumer<PollResponse> callback) {
            throw new AssertionError("only starts are relayed");
        }
    }

    private static final class NoHandover implements Handover {
        @Override
        public boolean isAvailable() {
            return false;
        }

        @Override
        public void handOver(byte[] record, Consumer<StoreOutcome> callback) {
            callback.accept(StoreOutcome.NOT_STORED);
        }
    }

    @BeforeMethod
    public void connect() throws Exception {
        mStarts.clear();
        mWorkerAnswer = Optional.of(CommandOutcome.DONE);
        mRegistry = new JobRegistry(120_000);
        mGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        mLoop = (EventLoop) mGroup.next();
        Timers timers = (ms, action) -> mLoop.schedule(action, ms, TimeUnit.MILLISECONDS);
        Clock clock = Clock.system();
        mStream =
                JournalStream.listen(
                        mLoop,
                        new InetSocketAddress("127.0.0.1", 0),
                        clock,
                        timers,
                        LinkRate.UNKNOWN,
                        new NoHandover(),
                        new FakeJobQueries());
        mOut = NodeLog.silent(clock);
        FakeSharedLog log = new FakeSharedLog();
        mLoop.scheduleAtFixedRate(log::deliverAnswers, 0, 1, TimeUnit.MILLISECONDS);
        JournalReader reader =
                new JournalReader(
                        log,
                        JournalPartitions.all(3),
                        clock,
                        timers,
                        mOut,
                        mRegistry,
                        (record, job) -> {});
        mLink = new OwnerLink(mLoop, clock, timers, mOut, reader);
        mLink.setRelayedStartHandler(
                new RelayedStartHandler(reader, new FakeWorkerClient(), clock, mOut));
        JournalStatus status =
                new FixedJournalStatus(new JournalPosition(List.of(0L, 0L, 0L)), 0, 0);
        mLoop.submit(
                        () -> {
                            mStream.ownershipAcquired(TOKEN, status, () -> true);
                            mLink.setOwner(Optional.of(new KnownOwner(TOKEN, mStream.address())));
                        })
                .get();
        while (!mLoop.submit(mStream.startRelay()::isAvailable).get()) {
            Thread.onSpinWait();
        }
    }

    @AfterMethod
    public void close() {
        mGroup.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private void acceptJob() throws Exception {
        TaskStep step =
                new TaskStep(
                        5,
                        Resources.of(1, 1, 0),
                        1000,
                        List.of(),
                        PlacementConstraints.ANYWHERE,
                        RunMode.PLAIN);
        QueuePolicy policy = new QueuePolicy(0, 2, 1.6, 600, Optional.empty());
        JobDefinition definition =
                new JobDefinition(
                        TASK.job(),
                        "queue",
                        "surveys",
                        TEXT,
                        List.of(step),
                        Timetable.AT_ONCE,
                        policy,
                        1,
                        0,
                        "");
        mLoop.submit(() -> mRegistry.apply(new JobAccepted(definition))).get();
    }

    private CompletableFuture<Optional<CommandOutcome>> relay() {
        CompletableFuture<Optional<CommandOutcome>> outcome = new CompletableFuture<>();
        mLoop.execute(() -> mStream.startRelay().start(WORKER, COMMAND, outcome::complete));
        return outcome;
    }

    private String logged() throws Exception {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        mLoop.submit(() -> mOut.flush(out)).get();
        return bytes.toString(StandardCharsets.UTF_8);
    }

    /** Guards against a run of which no line tells, as its owner has ended meanwhile. */
    @Test(timeOut = 60_000)
    public void relayedStartIsLoggedByTheNodeThatSendsIt() throws Exception {
        acceptJob();
        relay().get();

        String log = logged();
        String run = "\"task\":\"%s\",\"attempt\":2,\"worker\":\"w1\",\"token\":%d";
        assertTrue(log.contains("\"kind\":\"relayed-start\""), log);
        assertTrue(log.contains(run.formatted(TASK, TOKEN)), log);
        assertTrue(log.contains("\"jobKnown\":\"true\""), log);
        assertTrue(log.contains("\"outcome\":\"DONE\""), log);
    }

    @Test(timeOut = 60_000)
    public void relayedStartThatIsNotSentIsLogged() throws Exception {
        relay().get();

        String log = logged();
        assertTrue(log.contains("\"jobKnown\":\"false\""), log);
        assertTrue(log.contains("\"outcome\":\"NOT_SENT\""), log);
    }

    @Test(timeOut = 60_000)
    public void relayedStartReachesTheWorkerWithTheJobsText() throws Exception {
        acceptJob();

        assertEquals(relay().get(), Optional.of(CommandOutcome.DONE));

        assertEquals(
                mStarts.take(),
                new WorkerClient.StartCommand(
                        COMMAND.run(),
                        TEXT,
                        COMMAND.checkpoint(),
                        COMMAND.ticket(),
                        COMMAND.leaseUntilMs()));
    }

    /** Guards against a start without a text, or one that its owner waits for in vain. */
    @Test(timeOut = 60_000)
    public void startOfAnUnknownJobIsReportedAsNotSent() throws Exception {
        assertEquals(relay().get(), Optional.empty());
        assertEquals(mStarts.size(), 0);
    }

    /** Guards against a cancelled job's task that starts because its owner's relay was slow. */
    @Test(timeOut = 60_000)
    public void startOfACancelledJobIsNotSent() throws Exception {
        acceptJob();
        mLoop.submit(() -> mRegistry.apply(new JobCancelled(TASK.job(), 1))).get();

        assertEquals(relay().get(), Optional.empty());
        assertEquals(mStarts.size(), 0);
    }

    /** Guards against a worker that counts as unresponsive because another node can't reach it. */
    @Test(timeOut = 60_000)
    public void startThatTheFollowerCannotSendIsReportedAsNotSent() throws Exception {
        acceptJob();
        mWorkerAnswer = Optional.of(CommandOutcome.NOT_SENT);

        assertEquals(relay().get(), Optional.empty());
    }

    /** Guards against a start that counts as not sent although the lost follower may send it. */
    @Test(timeOut = 60_000)
    public void startOfALostFollowerIsUnanswered() throws Exception {
        acceptJob();
        mWorkerAnswer = Optional.empty();
        CompletableFuture<Optional<CommandOutcome>> outcome = relay();
        mStarts.take();

        mLoop.submit(() -> mLink.setOwner(Optional.empty())).get();

        assertEquals(outcome.get(), Optional.of(CommandOutcome.UNANSWERED));
        assertFalse(mLoop.submit(mStream.startRelay()::isAvailable).get());
    }

    /** Guards against starts that wait for a follower behind a partition. */
    @Test(timeOut = 60_000)
    public void followerThatDoesNotRespondIsSentFewStarts() throws Exception {
        acceptJob();
        mWorkerAnswer = Optional.empty();
        List<CompletableFuture<Optional<CommandOutcome>>> outcomes = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            outcomes.add(relay());
        }
        mLoop.submit(() -> {}).get();

        long sent = outcomes.stream().filter(o -> !o.isDone()).count();
        assertEquals(sent, 16);
        assertFalse(mLoop.submit(mStream.startRelay()::isAvailable).get());
        assertEquals(outcomes.get(0).get(), Optional.of(CommandOutcome.UNANSWERED));
        assertFalse(mLoop.submit(mStream.startRelay()::isAvailable).get());
    }
}
