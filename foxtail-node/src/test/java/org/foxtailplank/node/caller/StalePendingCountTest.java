package org.foxtailplank.node.caller;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.http.HttpReply;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.Timetable;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.FakeFeed;
import org.foxtailplank.node.FakeJobQueries;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.LinkRate;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.journal.Handover;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.journal.JournalPartitions;
import org.foxtailplank.node.journal.JournalPosition;
import org.foxtailplank.node.journal.StoreOutcome;
import org.foxtailplank.node.peer.FixedJournalStatus;
import org.foxtailplank.node.peer.JournalStream;
import org.foxtailplank.node.peer.OwnerMonitor.KnownOwner;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.OperatorChange;
import org.foxtailplank.port.RouteSettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the pending count of a node whose owner lacks records of the journal. */
public class StalePendingCountTest {
    private static final long TOKEN = 7;
    private static final String QUEUE = "/q/";
    private static final LogPartition SPARE = JournalPartitions.all(3).get(1);
    private static final JournalPosition NOTHING_READ = new JournalPosition(List.of(0L, 0L, 0L));

    private final Clock mClock = Clock.system();
    private MultiThreadIoEventLoopGroup mGroup;
    private EventLoop mLoop;
    private FakeSharedLog mLog;
    private JournalStream mOwner;
    private CallerServiceFixture mService;

    @BeforeMethod
    public void setUp() throws Exception {
        mGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        mLoop = (EventLoop) mGroup.next();
        Timers timers = (ms, action) -> mLoop.schedule(action, ms, TimeUnit.MILLISECONDS);
        mLog = new FakeSharedLog();
        FakeFeed<OperatorChange> operatorChanges = new FakeFeed<>();
        RouteSettings queue = new RouteSettings(QUEUE, "h", QUEUE, "s", policy(), false);
        FleetConfig config = new FleetConfig(1, List.of(queue), List.of(), 1000);
        operatorChanges.put("config", new OperatorChange.NewConfig(config));
        mService = new CallerServiceFixture(mLoop, mClock, timers, mLog, operatorChanges);
        mOwner =
                JournalStream.listen(
                        mLoop,
                        new InetSocketAddress("127.0.0.1", 0),
                        mClock,
                        timers,
                        LinkRate.UNKNOWN,
                        new NoHandover(),
                        new FakeJobQueries());
        run(mService::readOperatorChanges);
    }

    @AfterMethod
    public void tearDown() throws Exception {
        run(() -> mService.link().setOwner(Optional.empty()));
        mGroup.shutdownGracefully(0, 0, TimeUnit.SECONDS);
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

    private static QueuePolicy policy() {
        return new QueuePolicy(0, 2, 1.6, 600, Optional.empty());
    }

    private void run(Runnable action) throws Exception {
        mLoop.submit(action).get();
    }

    private <T> T call(Callable<T> action) throws Exception {
        return mLoop.submit(action).get();
    }

    /** Makes the node follow an owner whose heartbeats report this position. */
    private void followOwner(JournalPosition position) throws Exception {
        InetSocketAddress address = call(mOwner::address);
        run(
                () -> {
                    long longAgo = mClock.nowMs() - 10_000;
                    mOwner.ownershipAcquired(
                            TOKEN, new FixedJournalStatus(position, longAgo, 0), () -> false);
                    mService.link().setOwner(Optional.of(new KnownOwner(TOKEN, address)));
                });
        while (!call(mService.link()::isAvailable)) {
            Thread.onSpinWait();
        }
    }

    private byte[] acceptedJob(String id) {
        TaskStep step =
                new TaskStep(
                        1,
                        Resources.of(1, 1, 0),
                        500,
                        List.of(),
                        PlacementConstraints.ANYWHERE,
                        RunMode.PLAIN);
        JobDefinition definition =
                new JobDefinition(
                        id,
                        QUEUE,
                        "s",
                        "a",
                        List.of(step),
                        Timetable.AT_ONCE,
                        policy(),
                        mClock.wallMs(),
                        0,
                        "");
        return JournalCodec.encode(new JobAccepted(definition));
    }

    private String pending() throws Exception {
        List<HttpReply> replies =
                call(() -> mService.send("GET", QUEUE, new byte[0], Optional.empty()));
        while (call(replies::isEmpty)) {
            run(mLog::deliverAnswers);
        }
        return new String(replies.get(0).body(), StandardCharsets.UTF_8);
    }

    /** Guards against a count as old as the last read of an owner whose reads fail. */
    @Test(timeOut = 60_000)
    public void anOwnerThatStoppedReadingDoesNotMakeItsFollowersUpToDate() throws Exception {
        mLog.records(JournalPartitions.PRIMARY).add(acceptedJob("00000000000000aa"));
        followOwner(NOTHING_READ);

        assertEquals(pending(), "{\"pending\":1}");
    }

    /** Guards against a record of a spare partition that hides missing ones of the first. */
    @Test(timeOut = 60_000)
    public void aRecordOfOnePartitionDoesNotMakeTheNodeUpToDate() throws Exception {
        mLog.records(JournalPartitions.PRIMARY).add(acceptedJob("00000000000000aa"));
        mLog.records(SPARE).add(acceptedJob("00000000000000bb"));
        followOwner(new JournalPosition(List.of(1L, 1L, 0L)));
        run(() -> mOwner.recordRead(1, 0, acceptedJob("00000000000000bb")));
        while (!call(() -> mService.reader().hasRead(1, 0))) {
            Thread.onSpinWait();
        }

        assertEquals(pending(), "{\"pending\":2}");
    }
}
