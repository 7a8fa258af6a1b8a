package org.foxtailplank.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests calls whose timeout expires before the server, which the test plays, responds. */
public class LateResponseTest {
    private static final int CONNECT_MS = 10_000;
    private static final long SHORT_MS = 50;
    private static final long LONG_MS = 60_000;
    private static final long RESULT_TIMEOUT_S = 20;
    private static final int SOCKET_TIMEOUT_MS = 20_000;
    private static final int OK = 200;
    private static final int END_OF_STREAM = -1;

    private final List<Socket> mAccepted = new ArrayList<>();
    private MultiThreadIoEventLoopGroup mGroup;
    private EventLoop mLoop;
    private ServerSocket mServer;
    private HttpClient mClient;

    @BeforeMethod
    public void setUp() throws IOException {
        mGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        mLoop = (EventLoop) mGroup.next();
        mServer = new ServerSocket(0, 2, InetAddress.getLoopbackAddress());
        mServer.setSoTimeout(SOCKET_TIMEOUT_MS);
    }

    @AfterMethod
    public void tearDown() throws IOException {
        for (Socket s : mAccepted) {
            s.close();
        }
        mAccepted.clear();
        mServer.close();
        mGroup.shutdownGracefully();
    }

    private InetSocketAddress target() {
        return new InetSocketAddress(mServer.getInetAddress(), mServer.getLocalPort());
    }

    /** Makes a call that accepts late responses; returns its results as they are reported. */
    private BlockingQueue<HttpResult> callAcceptingLate(String path, long timeoutMs, long lateMs) {
        BlockingQueue<HttpResult> results = new LinkedBlockingQueue<>();
        HttpCall call = HttpCall.get(path);
        mLoop.execute(
                () -> mClient.callAcceptingLate(target(), call, timeoutMs, lateMs, results::add));
        return results;
    }

    /** The same without late responses. */
    private BlockingQueue<HttpResult> call(String path, long timeoutMs) {
        BlockingQueue<HttpResult> results = new LinkedBlockingQueue<>();
        HttpCall call = HttpCall.get(path);
        mLoop.execute(() -> mClient.call(target(), call, timeoutMs, results::add));
        return results;
    }

    /**
     * Opens idle connections, so that the calls that follow are sent at once and not while their
     * short timeouts pass.
     */
    private List<Socket> connect(HttpClient client, int count) throws Exception {
        mClient = client;
        List<BlockingQueue<HttpResult>> results = new ArrayList<>();
        List<Socket> accepted = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            results.add(call("/first", LONG_MS));
            Socket socket = mServer.accept();
            socket.setSoTimeout(SOCKET_TIMEOUT_MS);
            readRequest(socket);
            accepted.add(socket);
        }
        for (int i = 0; i < count; i++) {
            respond(accepted.get(i), "first");
            assertAnswered(next(results.get(i)), "first");
        }
        mAccepted.addAll(accepted);
        return accepted;
    }

    /** Reads a request without a body and returns its first line. */
    private static String readRequest(Socket socket) throws IOException {
        BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        String first = in.readLine();
        String line = first;
        while (!line.isEmpty()) {
            line = in.readLine();
        }
        return first;
    }

    private static void respond(Socket socket, String body) throws IOException {
        String response = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
    }

    private static HttpResult next(BlockingQueue<HttpResult> results) throws Exception {
        HttpResult result = results.poll(RESULT_TIMEOUT_S, TimeUnit.SECONDS);
        assertTrue(result != null, "no result");
        return result;
    }

    private static void assertUnanswered(HttpResult result) {
        assertTrue(result instanceof HttpResult.Unanswered, String.valueOf(result));
    }

    private static void assertAnswered(HttpResult result, String body) {
        assertTrue(result instanceof HttpResult.Answered, String.valueOf(result));
        HttpResult.Answered answer = (HttpResult.Answered) result;
        assertEquals(answer.status(), OK);
        assertEquals(new String(answer.body(), StandardCharsets.US_ASCII), body);
    }

    /** Guards against a response that is discarded since it arrives after the timeout. */
    @Test
    public void aResponseAfterTheTimeoutIsReportedByASecondCallback() throws Exception {
        Socket server = connect(HttpClient.resetting(mLoop, CONNECT_MS, 1), 1).get(0);
        BlockingQueue<HttpResult> results = callAcceptingLate("/late", SHORT_MS, LONG_MS);
        readRequest(server);

        assertUnanswered(next(results));
        respond(server, "late");
        assertAnswered(next(results), "late");
    }

    /** Guards against a connection that stays unusable, or is closed, after a late response. */
    @Test
    public void aConnectionIsReusedAfterALateResponse() throws Exception {
        Socket server = connect(new HttpClient(mLoop, CONNECT_MS, 1), 1).get(0);
        BlockingQueue<HttpResult> late = callAcceptingLate("/late", SHORT_MS, LONG_MS);
        readRequest(server);
        assertUnanswered(next(late));
        respond(server, "late");
        assertAnswered(next(late), "late");

        BlockingQueue<HttpResult> following = call("/following", LONG_MS);
        assertEquals(readRequest(server), "GET /following HTTP/1.1");
        respond(server, "following");

        assertAnswered(next(following), "following");
        assertTrue(late.isEmpty(), "a third result: " + late);
    }

    /** Guards against requests that are still delivered after their call has timed out. */
    @Test
    public void aCallWithoutLateResponsesResetsItsConnectionAtTheTimeout() throws Exception {
        Socket server = connect(HttpClient.resetting(mLoop, CONNECT_MS, 1), 1).get(0);
        BlockingQueue<HttpResult> results = call("/", SHORT_MS);

        assertUnanswered(next(results));
        assertThrows(SocketException.class, () -> server.getInputStream().readAllBytes());
    }

    /** Guards against connections that are all silent, each of which costs a call its timeout. */
    @Test
    public void aCallThatFollowsATimeoutAtOnceIsSentOnANewConnection() throws Exception {
        List<Socket> servers = connect(new HttpClient(mLoop, CONNECT_MS, 3), 3);
        BlockingQueue<HttpResult> following = new LinkedBlockingQueue<>();
        HttpCall silent = HttpCall.get("/silent");
        HttpCall next = HttpCall.get("/following");
        Runnable callNext = () -> mClient.call(target(), next, LONG_MS, following::add);
        mLoop.execute(() -> mClient.call(target(), silent, SHORT_MS, r -> callNext.run()));

        try (Socket fresh = mServer.accept()) {
            assertEquals(readRequest(fresh), "GET /following HTTP/1.1");
            respond(fresh, "following");
            assertAnswered(next(following), "following");
        }
        for (Socket s : servers) {
            String rest = new String(s.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertTrue(rest.isEmpty() || rest.startsWith("GET /silent"), rest);
        }
    }

    /** Guards against connections that stay open although no response comes. */
    @Test
    public void anOverdueConnectionIsClosedWhenNoResponseIsAcceptedAnyLonger() throws Exception {
        Socket server = connect(new HttpClient(mLoop, CONNECT_MS, 1), 1).get(0);
        BlockingQueue<HttpResult> results = callAcceptingLate("/late", SHORT_MS, SHORT_MS);
        readRequest(server);

        assertUnanswered(next(results));
        assertEquals(server.getInputStream().read(), END_OF_STREAM);
        assertTrue(results.isEmpty(), "a second result: " + results);
    }

    /** Guards against calls that are never sent while overdue ones hold all connections. */
    @Test
    public void theOldestOverdueConnectionMakesRoomForAWaitingCall() throws Exception {
        List<Socket> servers = connect(new HttpClient(mLoop, CONNECT_MS, 2), 2);
        BlockingQueue<HttpResult> oldest = callAcceptingLate("/oldest", SHORT_MS, LONG_MS);
        BlockingQueue<HttpResult> newer = callAcceptingLate("/newer", SHORT_MS, LONG_MS);
        boolean isFirst = readRequest(servers.get(0)).contains("/oldest");
        readRequest(servers.get(1));
        Socket oldestServer = servers.get(isFirst ? 0 : 1);
        Socket newerServer = servers.get(isFirst ? 1 : 0);
        assertUnanswered(next(oldest));
        assertUnanswered(next(newer));

        BlockingQueue<HttpResult> waiting = call("/waiting", LONG_MS);
        try (Socket third = mServer.accept()) {
            third.setSoTimeout(SOCKET_TIMEOUT_MS);
            assertEquals(readRequest(third), "GET /waiting HTTP/1.1");
            respond(third, "waiting");
        }

        assertAnswered(next(waiting), "waiting");
        assertEquals(oldestServer.getInputStream().read(), END_OF_STREAM);
        respond(newerServer, "newer");
        assertAnswered(next(newer), "newer");
        assertTrue(oldest.isEmpty(), "a second result: " + oldest);
    }
}
