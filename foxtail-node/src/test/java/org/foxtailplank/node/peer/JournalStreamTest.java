package org.foxtailplank.node.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.FakeJobQueries;
import org.foxtailplank.node.LinkRate;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.journal.Handover;
import org.foxtailplank.node.journal.JournalPosition;
import org.foxtailplank.node.journal.StoreOutcome;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against journal records that fill the owner's link when it reads many in a short time. */
public class JournalStreamTest {
    private static final long TOKEN = 7;
    private static final int RECORDS = 300;
    private static final int RECORD_BYTES = 50;

    /** Carries {@link #RECORDS} records to one follower at once, but not five times as many. */
    private static final LinkRate NARROW = new LinkRate(1.4);

    private static final int BATCHES_OVER_BUDGET = 5;

    /** Upper bound for a record with its frame's fields on the wire. */
    private static final int FRAME_BYTES = RECORD_BYTES + 20;

    private final AtomicLong mPosition = new AtomicLong();
    private MultiThreadIoEventLoopGroup mGroup;
    private EventLoop mLoop;
    private JournalStream mStream;
    private Socket mFollower;

    @BeforeMethod
    public void follow() throws Exception {
        mPosition.set(0);
        mGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        mLoop = (EventLoop) mGroup.next();
        Timers timers = (ms, action) -> mLoop.schedule(action, ms, TimeUnit.MILLISECONDS);
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        mStream =
                JournalStream.listen(
                        mLoop,
                        any,
                        Clock.system(),
                        timers,
                        NARROW,
                        new NoHandover(),
                        new FakeJobQueries());
        mFollower = new Socket();
        mFollower.connect(mStream.address());
        // After the first frame the stream has registered the follower.
        PeerFrame first = nextFrame();
        assertEquals(((PeerFrame.Heartbeat) first).token(), PeerFrame.NO_OWNER);
    }

    @AfterMethod
    public void close() throws Exception {
        mFollower.close();
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

    private PeerFrame nextFrame() throws IOException {
        DataInputStream in = new DataInputStream(mFollower.getInputStream());
        byte[] frame = in.readNBytes(in.readInt());
        return PeerFrame.decode(Unpooled.wrappedBuffer(frame));
    }

    /** Reads frames up to the one with the last record. */
    private List<PeerFrame> framesUntilLastRecord() throws IOException {
        List<PeerFrame> frames = new ArrayList<>();
        PeerFrame frame;
        do {
            frame = nextFrame();
            frames.add(frame);
        } while (!(frame instanceof PeerFrame.StreamedRecord r) || r.offset() < RECORDS - 1);
        return frames;
    }

    private void becomeOwner() {
        JournalStatus journal =
                new JournalStatus() {
                    @Override
                    public JournalPosition position() {
                        return new JournalPosition(List.of(mPosition.get()));
                    }

                    @Override
                    public long completeMs() {
                        return 0;
                    }

                    @Override
                    public long storedMsAgo() {
                        return 0;
                    }
                };
        mStream.ownershipAcquired(TOKEN, journal, () -> true);
    }

    private void readAllRecords() {
        for (int i = 0; i < RECORDS; i++) {
            mPosition.set(i + 1);
            mStream.recordRead(0, i, new byte[RECORD_BYTES]);
        }
    }

    @Test(timeOut = 60_000)
    public void recordsArriveInOrderAndBeforeTheHeartbeatThatCoversThem() throws Exception {
        mLoop.submit(
                        () -> {
                            becomeOwner();
                            readAllRecords();
                        })
                .get();

        long expected = 0;
        for (PeerFrame f : framesUntilLastRecord()) {
            if (f instanceof PeerFrame.StreamedRecord r) {
                assertEquals(r.offset(), expected);
                expected++;
            } else if (f instanceof PeerFrame.Heartbeat h) {
                assertTrue(h.position().offsets().get(0) <= expected, "a record is missing");
            }
        }
        assertEquals(expected, RECORDS);
    }

    @Test(timeOut = 60_000)
    public void recordsReadTogetherAreSentInFewPackets() throws Exception {
        mLoop.submit(
                        () -> {
                            becomeOwner();
                            readAllRecords();
                        })
                .get();

        assertTrue(mStream.flushCount() <= 5, "batches sent: " + mStream.flushCount());
        framesUntilLastRecord();
        long bytes = (long) RECORDS * FRAME_BYTES;
        assertTrue(mStream.sentBytes() <= bytes, mStream.sentBytes() + " bytes");
    }

    @Test(timeOut = 60_000)
    public void recordsBeyondTheBudgetAreDroppedAndTheHeartbeatCoversThem() throws Exception {
        mLoop.submit(
                        () -> {
                            becomeOwner();
                            for (int i = 0; i < BATCHES_OVER_BUDGET; i++) {
                                readAllRecords();
                            }
                        })
                .get();

        long position = 0;
        int records = 0;
        while (position < RECORDS) {
            PeerFrame frame = nextFrame();
            records += frame instanceof PeerFrame.StreamedRecord ? 1 : 0;
            position =
                    frame instanceof PeerFrame.Heartbeat h
                            ? h.position().offsets().get(0)
                            : position;
        }
        assertTrue(records < BATCHES_OVER_BUDGET * RECORDS, records + " records");
    }

    @Test(timeOut = 60_000)
    public void theBatchIsDiscardedWhenOwnershipIsLost() throws Exception {
        // The next owner's journal may continue differently; followers read it from the store.
        mLoop.submit(
                        () -> {
                            becomeOwner();
                            mStream.recordRead(0, 0, new byte[RECORD_BYTES]);
                            mStream.ownershipLost();
                        })
                .get();

        assertEquals(((PeerFrame.Heartbeat) nextFrame()).token(), TOKEN);
        assertEquals(mFollower.getInputStream().read(), -1);
    }
}
