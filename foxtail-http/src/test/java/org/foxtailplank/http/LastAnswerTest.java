package org.foxtailplank.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests answers after which a connection is closed, and those that come late. */
public class LastAnswerTest extends HttpServerTestBase {
    /** Guards against a caller that is reset, since it still sends, before it sees the answer. */
    @Test
    public void callerOfABodyOverTheLimitSeesTheAnswer() throws IOException {
        Socket socket = send(announced(8 * MAX_BODY) + "x".repeat(4 * MAX_BODY));

        send(socket, "x".repeat(4 * MAX_BODY));

        BufferedReader in = reader(socket);
        assertEquals(answer(in), "413");
        assertEquals(answer(in), "closed");
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

    private static void sendUntilClosed(Socket socket, String text) {
        try {
            send(socket, text);
        } catch (IOException e) {
            // The server has closed the connection, as expected.
        }
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
        mServer = bind(2 * TIMEOUT_MS);
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
