package org.foxtailplank.node.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.CodedOutputStream;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.foxtailplank.job.JobPhase;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.job.JobSummary;
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
import org.foxtailplank.schedule.UnstoredJob;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests a follower's connection to the owner over the loopback interface. */
public class OwnerLinkTest {
    private static final long TOKEN = 7;

    /** Stores records that begin with a 1 and never responds to others. */
    private final Handover mStore =
            new Handover() {
                @Override
                public boolean isAvailable() {
                    return true;
                }

                @Override
                public void handOver(byte[] record, Consumer<StoreOutcome> callback) {
                    if (record[0] == 1) {
                        callback.accept(StoreOutcome.STORED);
                    }
                }

                @Override
                public void reportUnstored(UnstoredJob job) {
                    mUnstored.add(job);
                }
            };

    private final List<UnstoredJob> mUnstored = new ArrayList<>();

    private final FakeJobQueries mJobQueries = new FakeJobQueries();
    private volatile long mOffsetMs;

    /** The system clock plus an offset that tests set. */
    private final Clock mClock =
            new Clock() {
                @Override
                public long nowMs() {
                    return Clock.system().nowMs() + mOffsetMs;
                }

                @Override
                public long wallMs() {
                    return Clock.system().wallMs() + mOffsetMs;
                }
            };

    private FakeSharedLog mSharedLog;
    private MultiThreadIoEventLoopGroup mGroup;
    private EventLoop mLoop;
    private Timers mTimers;
    private OwnerLink mLink;
    private InetSocketAddress mAddress;

    @BeforeMethod
    public void setUp() throws IOException {
        mOffsetMs = 0;
        mGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        mLoop = (EventLoop) mGroup.next();
        mTimers = (ms, action) -> mLoop.schedule(action, ms, TimeUnit.MILLISECONDS);
        NodeLog out = NodeLog.silent(mClock);
        mSharedLog = new FakeSharedLog();
        JournalReader reader =
                new JournalReader(
                        mSharedLog,
                        JournalPartitions.all(3),
                        mClock,
                        mTimers,
                        out,
                        new JobRegistry(120_000),
                        (record, job) -> {});
        mLink = new OwnerLink(mLoop, mClock, mTimers, out, reader);
        mJobQueries.mPhases.put("known", JobPhase.RUNNING);
        mJobQueries.mPending.put("known", 0);
        try (ServerSocket free = new ServerSocket(0)) {
            mAddress = new InetSocketAddress("127.0.0.1", free.getLocalPort());
        }
    }

    @AfterMethod
    public void tearDown() throws Exception {
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

    private JournalStream listen() throws IOException {
        return listen(LinkRate.UNKNOWN);
    }

    private JournalStream listen(LinkRate link) throws IOException {
        return JournalStream.listen(mLoop, mAddress, mClock, mTimers, link, mStore, mJobQueries);
    }

    private void follow() throws Exception {
        onLoop(
                () -> {
                    mLink.setOwner(Optional.of(new KnownOwner(TOKEN, mAddress)));
                    return null;
                });
    }

    /** Starts an owner and follows it. */
    private JournalStream followOwner() throws Exception {
        return followOwner(listen());
    }

    private JournalStream followOwner(JournalStream stream) throws Exception {
        onLoop(
                () -> {
                    long now = mClock.nowMs();
                    JournalStatus journal = new FixedJournalStatus(JournalPosition.START, now, 0);
                    stream.ownershipAcquired(TOKEN, journal, () -> false);
                    return null;
                });
        follow();
        return stream;
    }

    private void await(OwnerState state) throws Exception {
        while (onLoop(() -> mLink.state(TOKEN)) != state) {
            Thread.onSpinWait();
        }
    }

    @Test(timeOut = 60_000)
    public void anOwnerThatSendsHeartbeatsIsStreaming() throws Exception {
        followOwner();

        await(OwnerState.STREAMING);
    }

    /** Guards against a report of a process that was about to own, taken for that of its end. */
    @Test(timeOut = 60_000)
    public void aReportThatNoOwnerIsThereCountsFromItsArrivalOnly() throws Exception {
        listen();
        long before = mClock.nowMs();
        follow();
        await(OwnerState.GONE);

        assertTrue(onLoop(() -> mLink.areVmCallsFinished(TOKEN, before)));
        long later = mClock.nowMs() + 60_000;
        assertFalse(onLoop(() -> mLink.areVmCallsFinished(TOKEN, later)));
    }

    /** Guards against an owner that plans pools without the demand that nodes reject. */
    @Test(timeOut = 60_000)
    public void aRejectedSubmissionIsReportedToTheOwner() throws Exception {
        followOwner();
        await(OwnerState.STREAMING);
        UnstoredJob job = new UnstoredJob("00000000000000aa", "surveys", "acme", 3500, 40);

        while (onLoop(() -> mUnstored.isEmpty())) {
            onLoop(
                    () -> {
                        mLink.reportUnstored(job);
                        return null;
                    });
        }

        assertEquals(onLoop(() -> mUnstored.get(0)), job);
    }

    /** Guards against nodes with narrow links that take over first, as others read later. */
    @Test(timeOut = 60_000)
    public void theJournalIsReadAsSoonAsTheOwnerIsSilent() throws Exception {
        followOwner();
        await(OwnerState.STREAMING);
        int readsBefore = onLoop(() -> mSharedLog.reads(JournalPartitions.PRIMARY));
        mOffsetMs = 1000;
        onLoop(
                () -> {
                    mLink.checkSilence();
                    return null;
                });

        assertEquals(
                onLoop(() -> mSharedLog.reads(JournalPartitions.PRIMARY)).intValue(),
                readsBefore + 1);
    }

    /** Guards against a message of a peer that ends the owner's process. */
    @Test
    public void anUnstoredJobWithANegativeDemandIsMalformed() throws Exception {
        ByteBuf frame = Unpooled.buffer();
        CodedOutputStream out = CodedOutputStream.newInstance(new ByteBufOutputStream(frame));
        out.writeString(PeerFrame.Field.UNSTORED_JOB, "00000000000000aa");
        out.writeInt64(PeerFrame.Field.UNSTORED_MILLI_CORES, -1);
        out.flush();

        assertThrows(IOException.class, () -> PeerFrame.decode(frame));
    }

    @Test(timeOut = 60_000)
    public void aStandbyFollowerReportsToAnOwnerOnANarrowLink() throws Exception {
        onLoop(
                () -> {
                    mLink.setStandbyCondition(() -> true);
                    return null;
                });
        JournalStream stream = followOwner(listen(new LinkRate(10)));

        while (onLoop(stream::lastStandbyMs) < 0) {
            Thread.onSpinWait();
        }
    }

    @Test(timeOut = 60_000)
    public void aProcessThatDoesNotOwnIsReportedAsGone() throws Exception {
        // A restarted process accepts connections at the owner's address, but no longer owns.
        listen();
        follow();

        await(OwnerState.GONE);
        assertEquals(
                onLoop(() -> mLink.state(TOKEN + 1)),
                OwnerState.SILENT,
                "a later owner's state must stay unknown");
    }

    @Test(timeOut = 60_000)
    public void anOwnerThatResignsIsReportedAsGone() throws Exception {
        JournalStream stream = followOwner();
        await(OwnerState.STREAMING);
        onLoop(
                () -> {
                    stream.ownershipLost();
                    return null;
                });

        await(OwnerState.GONE);
    }

    @Test(timeOut = 60_000)
    public void handoversCompleteOrFailWithTheConnection() throws Exception {
        JournalStream stream = followOwner();
        while (!onLoop(mLink::isAvailable)) {
            Thread.onSpinWait();
        }
        CompletableFuture<StoreOutcome> stored = new CompletableFuture<>();
        CompletableFuture<StoreOutcome> lost = new CompletableFuture<>();
        onLoop(
                () -> {
                    mLink.handOver(new byte[] {1}, stored::complete);
                    mLink.handOver(new byte[] {2}, lost::complete);
                    return null;
                });

        assertEquals(stored.get(), StoreOutcome.STORED);
        onLoop(
                () -> {
                    stream.ownershipLost();
                    return null;
                });
        assertEquals(lost.get(), StoreOutcome.UNKNOWN);
    }

    @Test(timeOut = 60_000)
    public void heartbeatsOfAFormerOwnerAreNotAttributedToItsSuccessor() throws Exception {
        // A starting node may connect to a former owner while it reads the journal. That process
        // reports that it doesn't own, which must not make the node replace the current owner.
        listen();
        try (ServerSocket silent = new ServerSocket(0, 1, mAddress.getAddress())) {
            InetSocketAddress next =
                    new InetSocketAddress(mAddress.getAddress(), silent.getLocalPort());
            onLoop(
                    () -> {
                        mLink.setOwner(Optional.of(new KnownOwner(TOKEN, mAddress)));
                        mLink.setOwner(Optional.of(new KnownOwner(TOKEN + 1, next)));
                        return null;
                    });
            silent.accept();

            assertNotEquals(onLoop(() -> mLink.state(TOKEN + 1)), OwnerState.GONE);
        }
    }

    private static void sendHeartbeat(Socket follower, long nowMs) throws IOException {
        PeerFrame frame =
                new PeerFrame.Heartbeat(
                        TOKEN, JournalPosition.START, nowMs, nowMs, 0, false, false, -1);
        frame.encode().readBytes(follower.getOutputStream(), frame.encode().readableBytes());
    }

    /** Guards against a journal that counts as complete for longer because heartbeats are late. */
    @Test(timeOut = 60_000)
    public void theQueueingDelayOfAHeartbeatDoesNotCountAsCompleteTime() throws Exception {
        long delayMs = 300;
        long betweenMs = 100;
        try (ServerSocket owner = new ServerSocket(0, 1, mAddress.getAddress())) {
            mAddress = (InetSocketAddress) owner.getLocalSocketAddress();
            follow();
            try (Socket follower = owner.accept()) {
                sendHeartbeat(follower, 0);
                while (onLoop(mLink::completeMs) < 0) {
                    Thread.onSpinWait();
                }
                long first = onLoop(mLink::completeMs);
                mOffsetMs = delayMs + betweenMs;
                sendHeartbeat(follower, betweenMs);
                while (onLoop(mLink::completeMs) == first) {
                    Thread.onSpinWait();
                }

                assertEquals((long) onLoop(mLink::completeMs), first + betweenMs);
            }
        }
    }

    @Test(timeOut = 60_000)
    public void anAddressWithoutAProcessIsReportedAsRefused() throws Exception {
        follow();

        await(OwnerState.REFUSED);
    }

    private <T> T query(Consumer<Consumer<T>> query) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        mLoop.execute(() -> query.accept(result::complete));
        return result.get(30, TimeUnit.SECONDS);
    }

    @Test(timeOut = 60_000)
    public void queriesReturnThePhaseOfAJobAndThePendingCountOfAQueue() throws Exception {
        followOwner();
        await(OwnerState.STREAMING);

        assertEquals(
                query((Consumer<Optional<JobSummary>> callback) -> mLink.job("known", callback)),
                Optional.of(new JobSummary(JobPhase.RUNNING, "", "")));
        assertEquals(
                query((Consumer<Optional<Integer>> callback) -> mLink.pending("known", callback)),
                Optional.of(0));
        assertEquals(
                query((Consumer<Optional<JobSummary>> callback) -> mLink.job("unknown", callback)),
                Optional.empty());
    }

    @Test(timeOut = 60_000)
    public void aQueryWithoutAnOwnerHasNoResult() throws Exception {
        assertEquals(
                query((Consumer<Optional<JobSummary>> callback) -> mLink.job("known", callback)),
                Optional.empty());
    }

    @Test(timeOut = 60_000)
    public void aQueryHasNoResultWhenTheOwnerIsLost() throws Exception {
        // Otherwise a caller would wait for a response that never arrives.
        JournalStream stream = followOwner();
        await(OwnerState.STREAMING);
        CompletableFuture<Optional<JobSummary>> result = new CompletableFuture<>();
        onLoop(
                () -> {
                    mLink.job("known", result::complete);
                    stream.ownershipLost();
                    mLink.setOwner(Optional.empty());
                    return null;
                });

        assertEquals(result.get(30, TimeUnit.SECONDS), Optional.empty());
    }
}
