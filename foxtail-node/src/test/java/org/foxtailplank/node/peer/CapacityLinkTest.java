package org.foxtailplank.node.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.foxtailplank.admission.QueueCapacity;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.FakeJobQueries;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.LinkRate;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.admission.KnownCapacity;
import org.foxtailplank.node.admission.PoolRoom;
import org.foxtailplank.node.journal.Handover;
import org.foxtailplank.node.journal.JournalPartitions;
import org.foxtailplank.node.journal.JournalPosition;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.journal.StoreOutcome;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.node.peer.OwnerMonitor.KnownOwner;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests capacity reports and refusals between an owner and a follower over the loopback. */
public class CapacityLinkTest {
    private static final long TOKEN = 7;

    /** The owner's clock is ahead of the follower's. */
    private static final long OWNER_OFFSET_MS = 1_000_000;

    private final FakeJobQueries mOwnerQueries = new FakeJobQueries();
    private MultiThreadIoEventLoopGroup mGroup;
    private EventLoop mLoop;
    private KnownCapacity mKnown;
    private OwnerLink mLink;
    private volatile boolean mSilent;
    private volatile boolean mFaulty;

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

    private record ShiftedClock(long offsetMs) implements Clock {
        @Override
        public long nowMs() {
            return Clock.system().nowMs() + offsetMs;
        }

        @Override
        public long wallMs() {
            return Clock.system().wallMs();
        }
    }

    @BeforeMethod
    public void connect() throws Exception {
        mSilent = false;
        mFaulty = false;
        mGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        mLoop = (EventLoop) mGroup.next();
        Timers timers = (ms, action) -> mLoop.schedule(action, ms, TimeUnit.MILLISECONDS);
        Timers ownerTimers =
                (ms, action) ->
                        timers.after(
                                ms,
                                () -> {
                                    if (!mSilent) {
                                        action.run();
                                    }
                                });
        Clock ownerClock = new ShiftedClock(OWNER_OFFSET_MS);
        JournalStream stream =
                JournalStream.listen(
                        mLoop,
                        new InetSocketAddress("127.0.0.1", 0),
                        ownerClock,
                        ownerTimers,
                        LinkRate.UNKNOWN,
                        new NoHandover(),
                        mOwnerQueries);
        CapacityReporter reporter =
                new CapacityReporter(new KnownCapacity(), NodeLog.silent(ownerClock));
        reporter.setSource(this::measure);
        stream.setCapacityReporter(reporter);
        Clock clock = Clock.system();
        NodeLog out = NodeLog.silent(clock);
        JournalReader reader =
                new JournalReader(
                        new FakeSharedLog(),
                        JournalPartitions.all(3),
                        clock,
                        timers,
                        out,
                        new JobRegistry(120_000),
                        (record, job) -> {});
        mKnown = new KnownCapacity();
        mLink = new OwnerLink(mLoop, clock, timers, out, reader);
        mLink.setCapacityFollower(new CapacityFollower(mKnown, () -> true));
        onLoop(
                () -> {
                    stream.ownershipAcquired(
                            TOKEN,
                            new FixedJournalStatus(JournalPosition.START, 0, 0),
                            () -> false);
                    mLink.setOwner(Optional.of(new KnownOwner(TOKEN, stream.address())));
                    return null;
                });
    }

    private List<PoolRoom> measure(long nowMs) {
        if (mFaulty) {
            throw new IllegalStateException("fault of a test");
        }
        QueueCapacity capacity =
                new QueueCapacity("s", nowMs, 4000, 0, List.of(), 0, 0, 0, Map.of());
        return List.of(new PoolRoom(capacity, 1_000_000));
    }

    @AfterMethod
    public void close() throws Exception {
        onLoop(
                () -> {
                    mLink.setOwner(Optional.empty());
                    return null;
                });
        mGroup.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private <T> T onLoop(Callable<T> action) throws Exception {
        return mLoop.submit(action).get();
    }

    private boolean isKnown() throws Exception {
        return onLoop(() -> mKnown.pool("s", Clock.system().nowMs()).isPresent());
    }

    private void await(boolean known) throws Exception {
        while (isKnown() != known) {
            Thread.onSpinWait();
        }
    }

    @Test(timeOut = 60_000)
    public void aReportArrivesInTheTimeOfTheFollower() throws Exception {
        await(true);
        long now = Clock.system().nowMs();
        long measuredMs = onLoop(() -> mKnown.pool("s", now).orElseThrow().capacity().measuredMs());

        assertTrue(measuredMs < now + OWNER_OFFSET_MS / 2, "measured by the owner's clock");
    }

    @Test(timeOut = 60_000)
    public void reportsOnASilentConnectionAgeOut() throws Exception {
        await(true);
        mSilent = true;

        await(false);
    }

    @Test(timeOut = 60_000)
    public void aFaultOfTheReportDoesNotEndTheHeartbeats() throws Exception {
        await(true);
        mFaulty = true;
        await(false);
        assertTrue(onLoop(() -> mLink.isAlive()), "the owner counts as lost");

        mFaulty = false;
        await(true);
    }

    @Test(timeOut = 60_000)
    public void theOwnerIsAskedBeforeARefusal() throws Exception {
        mOwnerQueries.mRefusal = (id, callback) -> callback.accept(id.equals("unknown"));
        await(true);

        assertEquals(mayRefuse("unknown"), Boolean.TRUE);
        assertEquals(mayRefuse("stored"), Boolean.FALSE);
        assertEquals(mOwnerQueries.mKeepMs, 2900);
    }

    private Boolean mayRefuse(String id) throws Exception {
        CompletableFuture<Boolean> answer = new CompletableFuture<>();
        onLoop(
                () -> {
                    mLink.mayRefuse(id, 2900, answer::complete);
                    return null;
                });
        return answer.get();
    }
}
