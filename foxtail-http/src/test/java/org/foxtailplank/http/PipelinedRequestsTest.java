package org.foxtailplank.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests requests that are sent before the answers to earlier ones. */
public class PipelinedRequestsTest {
    private static final int REQUESTS = 20_000;
    private static final int TIMEOUT_MS = 30_000;

    /** More than the socket buffers of both sides hold. */
    private static final long MAX_BYTES = 64L << 20;

    private final BlockingQueue<Consumer<HttpReply>> mHeld = new LinkedBlockingQueue<>();

    private MultiThreadIoEventLoopGroup mGroup;
    private EventLoop mLoop;
    private HttpServer mServer;

    @BeforeMethod
    public void setUp() throws IOException {
        mGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        mLoop = (EventLoop) mGroup.next();
        mHeld.clear();
        mServer =
                HttpServer.bind(
                        mLoop,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        1 << 20,
                        this::handle);
    }

    @AfterMethod
    public void tearDown() {
        mGroup.shutdownGracefully();
    }

    /** Holds back the answer to one path, and answers all others at once. */
    private void handle(HttpRequest request, Consumer<HttpReply> reply) {
        if (request.path().equals("/held")) {
            mHeld.add(reply);
        } else {
            reply.accept(HttpReply.empty(200).with(Map.of("Path", request.path())));
        }
    }

    private void answerHeld() throws InterruptedException {
        Consumer<HttpReply> reply = mHeld.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        mLoop.execute(() -> reply.accept(HttpReply.empty(200)));
    }

    private static String request(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    /** Guards against a stack overflow, which ends the process, once many requests wait for one. */
    @Test
    public void allRequestsThatWaitForOneAreAnsweredInOrder() throws Exception {
        try (Socket socket =
                new Socket(mServer.address().getAddress(), mServer.address().getPort())) {
            socket.setSoTimeout(TIMEOUT_MS);
            Thread sender = new Thread(() -> sendAll(socket));
            sender.start();
            answerHeld();
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            int answered = 0;
            while (answered < REQUESTS) {
                String line = in.readLine();
                if (line.startsWith("Path: ")) {
                    assertEquals(line, "Path: /" + answered);
                    answered++;
                }
            }
            sender.join();
        }
    }

    private static void sendAll(Socket socket) {
        StringBuilder all = new StringBuilder(request("/held"));
        for (int i = 0; i < REQUESTS; i++) {
            all.append(request("/" + i));
        }
        try {
            socket.getOutputStream().write(all.toString().getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            throw new IllegalStateException("the server has closed the connection", e);
        }
    }

    /** Guards against answers that fill a node's memory, since the caller doesn't read them. */
    @Test
    public void noMoreRequestsAreReadWhileAnswersAreNot() throws Exception {
        try (SocketChannel channel = SocketChannel.open(mServer.address())) {
            channel.configureBlocking(false);
            byte[] request = request("/" + "x".repeat(2000)).getBytes(StandardCharsets.US_ASCII);
            ByteBuffer next = ByteBuffer.wrap(request);
            long sent = 0;
            int stalledMs = 0;
            while (sent < MAX_BYTES && stalledMs < 500) {
                int written = channel.write(next);
                sent += written;
                if (!next.hasRemaining()) {
                    next.rewind();
                }
                stalledMs = written > 0 ? 0 : stalledMs + 10;
                if (written == 0) {
                    TimeUnit.MILLISECONDS.sleep(10);
                }
            }

            assertTrue(sent < MAX_BYTES, "the server has read " + sent + " bytes");
        }
    }

    /** Guards against a caller that fills a node's memory with requests that wait. */
    @Test
    public void noMoreRequestsAreReadWhileManyWait() throws Exception {
        try (SocketChannel channel = SocketChannel.open(mServer.address())) {
            channel.configureBlocking(false);
            ByteBuffer first =
                    ByteBuffer.wrap(request("/held").getBytes(StandardCharsets.US_ASCII));
            channel.write(first);
            ByteBuffer next =
                    ByteBuffer.wrap(
                            ("POST /next HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\n\r\n"
                                            + "x".repeat(65_536))
                                    .getBytes(StandardCharsets.US_ASCII));
            long sent = 0;
            int stalledMs = 0;
            while (sent < MAX_BYTES && stalledMs < 500) {
                int written = channel.write(next);
                sent += written;
                if (!next.hasRemaining()) {
                    next.rewind();
                }
                stalledMs = written > 0 ? 0 : stalledMs + 10;
                if (written == 0) {
                    TimeUnit.MILLISECONDS.sleep(10);
                }
            }

            assertTrue(sent < MAX_BYTES, "the server has read " + sent + " bytes");
        }
    }
}
