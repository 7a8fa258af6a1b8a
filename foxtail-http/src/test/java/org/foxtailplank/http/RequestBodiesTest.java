package org.foxtailplank.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

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

/** Tests how bodies of requests are received, and which are rejected. */
public class RequestBodiesTest extends HttpServerTestBase {
    @Test
    public void chunksOfAnySizeMakeUpABody() throws IOException {
        String body = "1\r\nx\r\n".repeat(MAX_BODY - 16) + "10\r\n" + "x".repeat(16) + "\r\n";

        Socket socket = send(CHUNKED + body + "0\r\n\r\n" + announced(2) + "xx");

        BufferedReader in = reader(socket);
        assertEquals(answer(in), "200 " + MAX_BODY);
        assertEquals(answer(in), "200 2");
    }

    @Test
    public void chunkedBodyOverTheLimitIsRejected() throws IOException {
        BufferedReader in = reader(send(CHUNKED + "100000\r\n" + "x".repeat(2 * MAX_BODY)));

        assertEquals(answer(in), "413");
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
}
