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

/**
 * Calls that must not arrive late, against a server on the loopback interface that never answers.
 */
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
    public void aCallThatIsGivenUpResetsItsConnection() throws Exception {
        // A call waits behind a cut when its owner's time ends. Closed in the ordinary way, the
        // connection would deliver it when the path is back, long after another owner has begun.
        CompletableFuture<HttpResult> result = call(SHORT_MS, () -> true);
        try (Socket accepted = mServer.accept()) {
            HttpResult given = result.get();
            InputStream in = accepted.getInputStream();

            assertTrue(given instanceof HttpResult.Unanswered, given.toString());
            assertThrows(SocketException.class, in::readAllBytes);
        }
    }

    @Test
    public void aCallIsNotSentOnceItMayNot() throws Exception {
        // The process was paused between the decision to call and the connection's opening.
        CompletableFuture<HttpResult> result = call(LONG_MS, () -> false);
        try (Socket accepted = mServer.accept()) {
            HttpResult given = result.get();

            assertTrue(given instanceof HttpResult.NotSent, given.toString());
            assertEquals(accepted.getInputStream().available(), 0);
        }
    }
}
