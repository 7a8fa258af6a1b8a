package org.foxtailplank.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests calls whose responses arrive in parts, from a server that the test plays. */
public class SlowResponseTest {
    private static final int CONNECT_MS = 10_000;
    private static final long TIMEOUT_MS = 5000;
    private static final long LONG_MS = 120_000;
    private static final long PAUSE_MS = 1000;
    private static final long RESULT_TIMEOUT_S = 60;
    private static final int SOCKET_TIMEOUT_MS = 60_000;
    private static final int PARTS = 6;
    private static final int ENDLESS = 1000;

    private MultiThreadIoEventLoopGroup mGroup;
    private EventLoop mLoop;
    private ServerSocket mServer;
    private CompletableFuture<HttpResult> mResult;

    @BeforeMethod
    public void setUp() throws IOException {
        mGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        mLoop = (EventLoop) mGroup.next();
        mServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        mServer.setSoTimeout(SOCKET_TIMEOUT_MS);
    }

    @AfterMethod
    public void tearDown() throws IOException {
        mServer.close();
        mGroup.shutdownGracefully();
    }

    /** Makes a call and returns the server's side of its connection. */
    private Socket call(long maxMs) throws IOException {
        mResult = new CompletableFuture<>();
        HttpClient client = HttpClient.resetting(mLoop, CONNECT_MS, 1);
        InetSocketAddress target =
                new InetSocketAddress(mServer.getInetAddress(), mServer.getLocalPort());
        mLoop.execute(
                () ->
                        client.callReceivingLarge(
                                target, HttpCall.get("/"), TIMEOUT_MS, maxMs, mResult::complete));
        return mServer.accept();
    }

    private HttpResult result() throws Exception {
        return mResult.get(RESULT_TIMEOUT_S, TimeUnit.SECONDS);
    }

    private static void sendHead(Socket socket, int length) throws IOException {
        String head = "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
    }

    /** Sends a part of the body after each pause. */
    private static void sendParts(Socket socket, int count) throws Exception {
        OutputStream out = socket.getOutputStream();
        for (int i = 0; i < count; i++) {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
            out.write('x');
        }
    }

    /** Guards against large responses that never arrive over a slow link. */
    @Test
    public void aResponseIsReceivedAsLongAsItKeepsArriving() throws Exception {
        try (Socket socket = call(LONG_MS)) {
            sendHead(socket, PARTS);
            sendParts(socket, PARTS);

            assertTrue(result() instanceof HttpResult.Answered, result().toString());
            assertEquals(((HttpResult.Answered) result()).body().length, PARTS);
        }
    }

    /** Guards against waiting for a connection that goes silent within a response. */
    @Test
    public void aResponseThatStopsArrivingTimesOut() throws Exception {
        try (Socket socket = call(LONG_MS)) {
            sendHead(socket, PARTS);
            sendParts(socket, 1);

            assertTrue(result() instanceof HttpResult.Unanswered, result().toString());
        }
    }

    /** Guards against waiting for a response that trickles without end. */
    @Test
    public void aResponseThatKeepsArrivingTimesOutAtTheMaximum() throws Exception {
        try (Socket socket = call(2 * TIMEOUT_MS)) {
            sendHead(socket, ENDLESS);

            assertThrows(IOException.class, () -> sendParts(socket, ENDLESS));
            assertTrue(result() instanceof HttpResult.Unanswered, result().toString());
        }
    }
}
