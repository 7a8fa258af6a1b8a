package org.foxtailplank.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that expired calls never reach a server, which here accepts connections but is silent. */
public class HttpClientTest {
    private static final int CONNECT_MS = 10_000;
    private static final long SHORT_MS = 50;
    private static final long LONG_MS = 60_000;

    private MultiThreadIoEventLoopGroup mGroup;
    private EventLoop mLoop;
    private ServerSocket mServer;

    @BeforeMethod
    public void setUp() throws IOException {
        mGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        mLoop = (EventLoop) mGroup.next();
        mServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @AfterMethod
    public void tearDown() throws IOException {
        mServer.close();
        mGroup.shutdownGracefully();
    }

    private CompletableFuture<HttpResult> call(long timeoutMs, BooleanSupplier maySend) {
        CompletableFuture<HttpResult> result = new CompletableFuture<>();
        HttpClient client = HttpClient.resetting(mLoop, CONNECT_MS, 1);
        InetSocketAddress target =
                new InetSocketAddress(mServer.getInetAddress(), mServer.getLocalPort());
        mLoop.execute(
                () -> client.call(target, HttpCall.get("/"), timeoutMs, maySend, result::complete));
        return result;
    }

    @Test
    public void aCallThatTimesOutResetsItsConnection() throws Exception {
        // An orderly close could still deliver the request after a network partition has healed.
        CompletableFuture<HttpResult> result = call(SHORT_MS, () -> true);
        try (Socket accepted = mServer.accept()) {
            HttpResult outcome = result.get();
            InputStream in = accepted.getInputStream();

            assertTrue(outcome instanceof HttpResult.Unanswered, outcome.toString());
            assertThrows(SocketException.class, in::readAllBytes);
        }
    }

    @Test
    public void aCallIsNotSentAfterItsConditionBecomesFalse() throws Exception {
        // The condition can change while the connection is being opened.
        CompletableFuture<HttpResult> result = call(LONG_MS, () -> false);
        try (Socket accepted = mServer.accept()) {
            HttpResult outcome = result.get();

            assertTrue(outcome instanceof HttpResult.NotSent, outcome.toString());
            assertEquals(accepted.getInputStream().available(), 0);
        }
    }
}
