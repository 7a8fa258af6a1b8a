package org.foxtailplank.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Connections that send at once, read nothing, and stay open until they are closed together. */
final class Crowd implements AutoCloseable {
    /** Size of the kernel's buffers of a connection, in bytes. */
    private static final int SOCKET_BUFFER = 16 << 10;

    /** Sending ends when no connection has taken a byte for this time, in milliseconds. */
    private static final long STALLED_MS = 3000;

    private static final long MAX_SENDING_MS = 20_000;
    private static final long PAUSE_MS = 10;

    /**
     * What a client sends.
     *
     * @param head bytes at the beginning
     * @param repeated bytes that follow again and again
     * @param repeatedBytes how many of them in all
     * @param pieceBytes most bytes that are written at once
     */
    record Script(String head, byte[] repeated, long repeatedBytes, int pieceBytes) {
        private static final int BLOCK = 64 << 10;

        /** Repeats a text, in blocks that fit a few writes. */
        static Script of(String head, String unit, long repeatedBytes) {
            String block = unit.repeat(Math.max(1, BLOCK / unit.length()));
            return new Script(
                    head, block.getBytes(StandardCharsets.US_ASCII), repeatedBytes, BLOCK);
        }

        Script inPiecesOf(int bytes) {
            return new Script(head, repeated, repeatedBytes, bytes);
        }
    }

    private static final class Client {
        private final SocketChannel mChannel;
        private final ByteBuffer mHead;
        private final ByteBuffer mRepeated;
        private final int mPieceBytes;
        private long mRemaining;
        private boolean mClosed;

        Client(SocketChannel channel, Script script) {
            mChannel = channel;
            mHead = ByteBuffer.wrap(script.head().getBytes(StandardCharsets.US_ASCII));
            mRepeated = ByteBuffer.wrap(script.repeated());
            mPieceBytes = script.pieceBytes();
            mRemaining = script.repeatedBytes();
        }

        void connect(InetSocketAddress listener) throws IOException {
            mChannel.setOption(StandardSocketOptions.SO_SNDBUF, SOCKET_BUFFER);
            mChannel.setOption(StandardSocketOptions.SO_RCVBUF, SOCKET_BUFFER);
            mChannel.connect(listener);
            mChannel.configureBlocking(false);
        }

        boolean isFinished() {
            return mClosed || !mHead.hasRemaining() && mRemaining == 0;
        }

        /** Writes what the connection takes, and returns the number of bytes. */
        int send() {
            try {
                if (mHead.hasRemaining()) {
                    return mChannel.write(mHead);
                }
                if (!mRepeated.hasRemaining()) {
                    mRepeated.clear();
                }
                int most = (int) Math.min(mPieceBytes, mRemaining);
                int end = Math.min(mRepeated.capacity(), mRepeated.position() + most);
                int written = mChannel.write(mRepeated.limit(end));
                mRepeated.limit(mRepeated.capacity());
                mRemaining -= written;
                return written;
            } catch (IOException e) {
                mClosed = true;
                return 0;
            }
        }
    }

    private final List<Client> mClients = new ArrayList<>();

    /** Opens connections; those that are refused are left out. */
    void join(InetSocketAddress listener, int count, Script script) throws IOException {
        for (int i = 0; i < count; i++) {
            Client client = new Client(SocketChannel.open(), script);
            mClients.add(client);
            try {
                client.connect(listener);
            } catch (IOException e) {
                client.mClosed = true;
            }
        }
    }

    /** Sends in turn until all is sent, or no connection takes more. */
    void send(Runnable eachTurn) throws InterruptedException {
        long startNs = System.nanoTime();
        long progressNs = startNs;
        long nowNs = startNs;
        while (mClients.stream().anyMatch(c -> !c.isFinished())
                && ms(nowNs - progressNs) < STALLED_MS
                && ms(nowNs - startNs) < MAX_SENDING_MS) {
            long sent = 0;
            for (Client c : mClients) {
                sent += c.isFinished() ? 0 : c.send();
            }
            eachTurn.run();
            if (sent == 0) {
                TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
            }
            nowNs = System.nanoTime();
            progressNs = sent > 0 ? nowNs : progressNs;
        }
    }

    private static long ms(long ns) {
        return TimeUnit.NANOSECONDS.toMillis(ns);
    }

    @Override
    public void close() throws IOException {
        for (Client c : mClients) {
            c.mChannel.close();
        }
    }
}
