package org.foxtailplank.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
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
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how bodies of requests are received, and which are rejected. */
public class RequestBodiesTest {
    private static final int MAX_BODY = 64 << 10;
    private static final int REQUEST_MS = 5000;

    /** More than the socket buffers of both sides hold. */
    private static final int LONG_ANSWER = 16 << 20;

    /** More than a rejected caller has, and less than any other. */
    private static final int SLOW_MS = 3000;

    private static final int SHORT_REQUEST_MS = 1000;
    private static final int TIMEOUT_MS = 30_000;
    private static final String POST = "POST /x HTTP/1.1\r\nHost: h\r\n";
    private static final String CHUNKED = POST + "Transfer-Encoding: chunked\r\n\r\n";

    private final List<Socket> mSockets = new ArrayList<>();
    private final BlockingQueue<Consumer<HttpReply>> mHeld = new LinkedBlockingQueue<>();
    private MultiThreadIoEventLoopGroup mGroup;
    private EventLoop mLoop;
    private HttpServer mServer;

    @BeforeMethod
    public void setUp() throws IOException {
        mGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        mLoop = (EventLoop) mGroup.next();
        mHeld.clear();
        mServer = bind(REQUEST_MS);
    }

    private HttpServer bind(long requestMs) throws IOException {
        return bind(requestMs, MAX_BODY);
    }

    private HttpServer bind(long requestMs, int memoryBytes) throws IOException {
        return HttpServer.bind(
                mLoop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                new ServerLimits(MAX_BODY, 100, requestMs),
                new BodyMemory(memoryBytes),
                this::handle);
    }

    @AfterMethod(alwaysRun = true)
    public void tearDown() throws IOException {
        for (Socket s : mSockets) {
            s.close();
        }
        mGroup.shutdownGracefully();
    }

    /** Answers with the size of the body; holds back the answer to one path. */
    private void handle(HttpRequest request, Consumer<HttpReply> reply) {
        if (request.path().equals("/held")) {
            mHeld.add(reply);
        } else {
            reply.accept(HttpReply.text(200, Integer.toString(request.body().length)));
        }
    }

    /** Waits for a request whose answer is held back, and returns the callback for its answer. */
    private Consumer<HttpReply> awaitHeld() throws InterruptedException {
        Consumer<HttpReply> reply = mHeld.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertNotNull(reply, "no request was held within " + TIMEOUT_MS + " ms");
        return reply;
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(mServer.address().getAddress(), mServer.address().getPort());
        socket.setSoTimeout(TIMEOUT_MS);
        mSockets.add(socket);
        return socket;
    }

    private Socket send(String text) throws IOException {
        Socket socket = connect();
        send(socket, text);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }

    /** Reads one answer, and returns its status and body. */
    private static String answer(BufferedReader in) throws IOException {
        String line = in.readLine();
        if (line == null) {
            return "closed";
        }
        StringBuilder text = new StringBuilder(line.substring("HTTP/1.1 ".length(), 12));
        int length = 0;
        for (String h = in.readLine(); !h.isEmpty(); h = in.readLine()) {
            if (h.startsWith("content-length: ")) {
                length = Integer.parseInt(h.substring("content-length: ".length()));
            }
        }
        text.append(' ');
        for (int i = 0; i < length; i++) {
            text.append((char) in.read());
        }
        return text.toString().trim();
    }

    private static String announced(int bytes) {
        return POST + "Content-Length: " + bytes + "\r\n\r\n";
    }

    /** Head of a request whose caller sends the body once it is invited. */
    private static String expecting(int bytes) {
        return POST + "Expect: 100-continue\r\nContent-Length: " + bytes + "\r\n\r\n";
    }

    @Test
    public void chunksOfAnySizeMakeUpABody() throws IOException {
        String body = "1\r\nx\r\n".repeat(MAX_BODY - 16) + "10\r\n" + "x".repeat(16) + "\r\n";

        Socket socket = send(CHUNKED + body + "0\r\n\r\n" + announced(2) + "xx");

        BufferedReader in = reader(socket);
        assertEquals(answer(in), "200 " + MAX_BODY);
        assertEquals(answer(in), "200 2");
    }

    /** Guards against a caller that is reset, since it still sends, before it sees the answer. */
    @Test
    public void callerOfABodyOverTheLimitSeesTheAnswer() throws IOException {
        Socket socket = send(announced(8 * MAX_BODY) + "x".repeat(4 * MAX_BODY));

        send(socket, "x".repeat(4 * MAX_BODY));

        BufferedReader in = reader(socket);
        assertEquals(answer(in), "413");
        assertEquals(answer(in), "closed");
    }

    @Test
    public void chunkedBodyOverTheLimitIsRejected() throws IOException {
        BufferedReader in = reader(send(CHUNKED + "100000\r\n" + "x".repeat(2 * MAX_BODY)));

        assertEquals(answer(in), "413");
    }

    /** Guards against a connection that stays open while its rejected body is sent for ever. */
    @Test
    public void connectionOfARejectedBodyIsClosed() throws IOException {
        Socket socket = send(announced(1 << 30));
        boolean open = true;
        long sent = 0;
        while (open && sent < 1L << 30) {
            try {
                send(socket, "x".repeat(MAX_BODY));
                sent += MAX_BODY;
            } catch (IOException e) {
                open = false;
            }
        }

        assertTrue(!open, "the server has read " + sent + " bytes");
    }

    @Test
    public void bodyIsInvitedIfTheCallerWaitsForIt() throws IOException {
        Socket socket = send(expecting(3));
        BufferedReader in = reader(socket);
        assertEquals(answer(in), "100");

        send(socket, "xxx");

        assertEquals(answer(in), "200 3");
    }

    @Test
    public void bodyOverTheLimitIsNotInvited() throws IOException {
        assertEquals(answer(reader(send(expecting(2 * MAX_BODY)))), "413");
    }

    /** Guards against a rejection that is taken for the answer to an earlier request. */
    @Test
    public void rejectionWaitsForEarlierAnswers() throws Exception {
        BufferedReader in =
                reader(send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n" + announced(2 * MAX_BODY)));
        Consumer<HttpReply> reply = awaitHeld();

        mLoop.execute(() -> reply.accept(HttpReply.empty(204)));

        assertEquals(answer(in), "204");
        assertEquals(answer(in), "413");
    }

    /** Guards against a connection that is closed before the answer to its earlier request. */
    @Test
    public void rejectedBodyIsDiscardedAfterEarlierAnswers() throws Exception {
        Socket socket = send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n" + announced(1 << 30));
        Consumer<HttpReply> reply = awaitHeld();
        Thread sender = new Thread(() -> sendUntilClosed(socket, "x".repeat(LONG_ANSWER)));
        sender.start();
        TimeUnit.MILLISECONDS.sleep(SLOW_MS);

        mLoop.execute(() -> reply.accept(HttpReply.empty(204)));

        BufferedReader in = reader(socket);
        assertEquals(answer(in), "204");
        assertEquals(answer(in), "413");
        socket.close();
        sender.join();
    }

    /** Guards against a rejection that is not told, as an earlier request takes its time. */
    @Test
    public void rejectionWaitsForALateAnswer() throws Exception {
        mServer = bind(SHORT_REQUEST_MS);
        BufferedReader in =
                reader(send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n" + announced(2 * MAX_BODY)));
        Consumer<HttpReply> reply = awaitHeld();
        TimeUnit.MILLISECONDS.sleep(SLOW_MS);

        mLoop.execute(() -> reply.accept(HttpReply.empty(204)));

        assertEquals(answer(in), "204");
        assertEquals(answer(in), "413");
    }

    /** Guards against a body that counts as stopped although it isn't invited yet. */
    @Test
    public void bodyThatIsNotInvitedYetDoesNotGiveWay() throws Exception {
        mServer = bind(SHORT_REQUEST_MS);
        Socket socket = send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n" + expecting(MAX_BODY));
        Consumer<HttpReply> reply = awaitHeld();
        BufferedReader other = reader(send(announced(MAX_BODY) + "x".repeat(MAX_BODY)));
        assertEquals(answer(other), "200 " + MAX_BODY);
        TimeUnit.MILLISECONDS.sleep(SLOW_MS);

        mLoop.execute(() -> reply.accept(HttpReply.empty(204)));

        BufferedReader in = reader(socket);
        assertEquals(answer(in), "204");
        assertEquals(answer(in), "100");
        send(socket, "x".repeat(MAX_BODY));
        assertEquals(answer(in), "200 " + MAX_BODY);
    }

    /** Guards against a connection that stays open for a body that was invited late. */
    @Test
    public void lateInvitationIsNotWaitedForForEver() throws Exception {
        mServer = bind(SHORT_REQUEST_MS);
        Socket socket = send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n" + expecting(MAX_BODY));
        Consumer<HttpReply> reply = awaitHeld();

        mLoop.execute(() -> reply.accept(HttpReply.empty(204)));

        BufferedReader in = reader(socket);
        assertEquals(answer(in), "204");
        assertEquals(answer(in), "100");
        assertEquals(answer(in), "closed");
    }

    @Test
    public void malformedRequestIsRejected() throws IOException {
        assertEquals(answer(reader(send("GET\r\n\r\n"))), "400");
        assertEquals(answer(reader(send(POST + "Content-Length: 1x\r\n\r\n"))), "400");
        assertEquals(answer(reader(send(CHUNKED + "zz\r\n"))), "400");
        assertEquals(answer(reader(send("GET /" + "x".repeat(9000)))), "431");
    }

    /** Guards against headers that take many times their bytes in memory. */
    @Test
    public void tooManyHeadersAreRejected() throws IOException {
        String hundred = "a: b\r\n".repeat(LimitedHeaders.MAX_HEADERS - 2);
        String trailers = "0\r\n" + hundred + "a: b\r\n".repeat(3) + "\r\n";

        assertEquals(answer(reader(send(POST + hundred + "a: b\r\n\r\n"))), "200 0");
        assertEquals(answer(reader(send(POST + hundred + "a: b\r\n".repeat(2) + "\r\n"))), "431");
        assertEquals(answer(reader(send(CHUNKED + trailers))), "431");
    }

    @Test
    public void unfinishedRequestIsClosed() throws IOException {
        List<Socket> sockets =
                List.of(send("GET /"), send(announced(10) + "x"), send(CHUNKED + "3\r\nx"));

        for (Socket s : sockets) {
            assertEquals(answer(reader(s)), "closed");
        }
    }

    /** Guards against a line break after a body that counts as an unfinished request. */
    @Test
    public void lineBreaksAfterABodyBeginNoRequest() throws Exception {
        Socket socket = send(announced(1) + "x\r\n\r\n");
        BufferedReader in = reader(socket);
        assertEquals(answer(in), "200 1");

        assertFalse(mLoop.submit(mServer::hasUnfinished).get());
        send(socket, "GET");
        send(socket, " /x HTTP/1.1\r\nHost: h\r\n\r\n");
        assertEquals(answer(in), "200 0");
    }

    /** Guards against large bodies that stop and keep all others from being read. */
    @Test
    public void largeBodyThatStopsGivesWayToAnother() throws IOException {
        Socket stopped = send(announced(MAX_BODY) + "x".repeat(MAX_BODY - 1));
        BufferedReader small = reader(send(announced(9) + "x".repeat(9)));
        assertEquals(answer(small), "200 9");

        BufferedReader other = reader(send(announced(MAX_BODY) + "x".repeat(MAX_BODY)));

        assertEquals(answer(other), "200 " + MAX_BODY);
        assertEquals(answer(reader(stopped)), "closed");
    }

    /** Guards against all stopped bodies being cut off for one that waits. */
    @Test
    public void noMoreStoppedBodiesGiveWayThanNeeded() throws IOException {
        mServer = bind(2 * TIMEOUT_MS, 4 * MAX_BODY);
        List<Socket> stopped = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Socket socket = send(expecting(MAX_BODY));
            assertEquals(answer(reader(socket)), "100");
            send(socket, "x".repeat(MAX_BODY - 1));
            stopped.add(socket);
        }
        BufferedReader other = reader(send(announced(MAX_BODY) + "x".repeat(MAX_BODY)));
        assertEquals(answer(other), "200 " + MAX_BODY);

        int answered = 0;
        for (Socket s : stopped) {
            answered += finish(s, "x").equals("200 " + MAX_BODY) ? 1 : 0;
        }
        assertEquals(answered, 3);
    }

    private static void sendUntilClosed(Socket socket, String text) {
        try {
            send(socket, text);
        } catch (IOException e) {
            // The server has closed the connection, as expected.
        }
    }

    /** Sends the end of a request, and returns the answer. */
    private static String finish(Socket socket, String end) {
        try {
            send(socket, end);
            return answer(reader(socket));
        } catch (IOException e) {
            return "closed";
        }
    }

    @DataProvider
    public Object[][] receivedBytes() {
        return new Object[][] {{MAX_BODY}, {MAX_BODY / 2}};
    }

    /** Guards against bodies that keep their memory behind a last answer that nobody reads. */
    @Test
    public void bodiesAfterALastRequestTakeNoMemory() throws Exception {
        mServer = bind(2 * TIMEOUT_MS);
        Socket socket = send("GET /held HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        Consumer<HttpReply> reply = awaitHeld();
        mLoop.submit(() -> reply.accept(new HttpReply(200, Map.of(), "", new byte[LONG_ANSWER])))
                .get();
        send(socket, announced(MAX_BODY) + "x".repeat(MAX_BODY));
        BufferedReader other = reader(send(announced(MAX_BODY) + "x".repeat(MAX_BODY)));

        assertEquals(answer(other), "200 " + MAX_BODY);
    }

    /** Guards against large bodies that wait, whole or in part, behind answers nobody reads. */
    @Test(dataProvider = "receivedBytes")
    public void largeBodyBehindUnreadAnswersGivesWayToAnother(int received) throws Exception {
        mServer = bind(2 * TIMEOUT_MS);
        send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n" + announced(MAX_BODY) + "x".repeat(received));
        Consumer<HttpReply> reply = awaitHeld();
        BufferedReader other = reader(send(announced(MAX_BODY) + "x".repeat(MAX_BODY)));
        mLoop.execute(() -> reply.accept(new HttpReply(200, Map.of(), "", new byte[LONG_ANSWER])));

        assertEquals(answer(other), "200 " + MAX_BODY);
    }

    /** Guards against memory that is lost with requests whose callers are gone. */
    @Test
    public void memoryOfAClosedConnectionIsFree() throws IOException {
        for (int i = 0; i < 20; i++) {
            send(announced(MAX_BODY) + "x".repeat(MAX_BODY / 2)).close();
            BufferedReader in =
                    reader(send(CHUNKED + "8000\r\n" + "x".repeat(1 << 15) + "\r\n0\r\n\r\n"));
            assertEquals(answer(in), "200 " + (1 << 15));
        }
    }

    /** Guards against connections that are checked for ever, as they are closed already. */
    @Test(timeOut = 2 * TIMEOUT_MS)
    public void lateAnswerToAClosedConnectionLeavesNothing() throws Exception {
        Socket socket = send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n");
        Consumer<HttpReply> reply = awaitHeld();
        socket.setSoLinger(true, 0);
        socket.close();
        while (mLoop.submit(mServer::inFlight).get() > 0) {
            TimeUnit.MILLISECONDS.sleep(10);
        }

        mLoop.submit(() -> reply.accept(HttpReply.empty(200))).get();

        assertFalse(mLoop.submit(mServer::hasUnfinished).get());
    }

    /** Guards against memory that is lost if its request is answered after its caller has gone. */
    @Test
    public void memoryOfALateAnswerIsFree() throws Exception {
        Socket socket =
                send("POST /held HTTP/1.1\r\nHost: h\r\nContent-Length: " + MAX_BODY + "\r\n\r\n");
        send(socket, "x".repeat(MAX_BODY));
        Consumer<HttpReply> reply = awaitHeld();
        socket.setSoLinger(true, 0);
        socket.close();
        BufferedReader other = reader(send(announced(MAX_BODY) + "x".repeat(MAX_BODY)));

        mLoop.execute(() -> reply.accept(HttpReply.empty(200)));

        assertEquals(answer(other), "200 " + MAX_BODY);
    }

    /** Guards against a slow reader of a long answer that is cut off like a rejected caller. */
    @Test(dataProvider = "afterTheLastRequest")
    public void longLastAnswerMayBeReadSlowly(String following) throws Exception {
        Socket socket =
                send("GET /held HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + following);
        Consumer<HttpReply> reply = awaitHeld();
        mLoop.execute(() -> reply.accept(new HttpReply(200, Map.of(), "", new byte[LONG_ANSWER])));
        TimeUnit.MILLISECONDS.sleep(SLOW_MS);

        long read = 0;
        byte[] buffer = new byte[1 << 16];
        for (int n = 0; n >= 0; n = socket.getInputStream().read(buffer)) {
            read += n;
        }
        assertTrue(read > LONG_ANSWER, "read " + read + " bytes");
    }

    @DataProvider
    public Object[][] afterTheLastRequest() {
        return new Object[][] {{""}, {"GET\r\n\r\n"}, {announced(MAX_BODY)}};
    }

    @Test
    public void answerToHeadHasNoBody() throws IOException {
        Socket socket =
                send("HEAD /x HTTP/1.1\r\nHost: h\r\n\r\nGET /x HTTP/1.1\r\nHost: h\r\n\r\n");

        BufferedReader in = reader(socket);
        List<String> lines = new ArrayList<>();
        for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
            lines.add(line);
        }
        assertTrue(lines.contains("content-length: 1"), lines.toString());
        assertEquals(answer(in), "200 0");
    }
}
