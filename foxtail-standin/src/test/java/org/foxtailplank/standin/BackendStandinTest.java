package org.foxtailplank.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.ActorSystem;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The backend server stand-in over raw sockets, so that a broken answer is seen as it is sent. */
public final class BackendStandinTest {

    private static final int READ_TIMEOUT_MS = 20_000;

    private ActorSystem mSystem;
    private BackendStandin mBackend;

    @BeforeClass
    public void startSystem() {
        mSystem = ActorSystem.create("standin-test");
    }

    @AfterClass
    public void stopSystem() throws Exception {
        mSystem.terminate();
        mSystem.getWhenTerminated().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    @BeforeMethod
    public void startBackend() throws IOException {
        mBackend =
                BackendStandin.start(
                        BackendOptions.named("b1")
                                .withLimits(2, 3)
                                .withServiceTime(Duration.ofMillis(2)),
                        mSystem);
    }

    @AfterMethod
    public void stopBackend() {
        mBackend.close();
    }

    @Test
    public void echoesTheBodyAndRemembersTheRun() throws IOException {
        Optional<EchoedAnswer> answer = EchoedAnswer.parse(bodyOf(exchange(post("r1", "hello"))));
        assertEquals(answer.orElseThrow().requestId(), "r1");
        assertEquals(new String(answer.get().body(), StandardCharsets.UTF_8), "hello");
        Execution run = mBackend.executions().get(0);
        assertEquals(run.requestId(), "r1");
        assertEquals(run.key(), "key-r1");
        assertEquals(run.leavingMs(), -1);
    }

    @Test
    public void saysWhenItLeavesAndRefusesOnceItFinishes() throws IOException {
        assertTrue(
                exchange(
                                "POST /leave HTTP/1.1\r\nHost: b\r\nContent-Length: 0\r\n"
                                        + "Connection: close\r\n\r\n")
                        .contains("leaving"));
        assertTrue(exchange(post("r1", "x")).startsWith("HTTP/1.1 200"));
        assertTrue(mBackend.executions().get(0).leavingMs() >= 0);
        try (Socket open = connect()) {
            // Connections are taken in order: once a later one is answered, this one was taken too.
            exchange("GET /health HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n");
            mBackend.finish().toCompletableFuture().join();
            open.getOutputStream().write(post("r2", "x").getBytes(StandardCharsets.UTF_8));
            String answer = text(readAll(open));
            assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
            assertTrue(answer.contains("Foxtail-Outcome: not-run"), answer);
        }
        assertEquals(mBackend.executions().size(), 1);
    }

    @Test
    public void truncatedAnswerIsRecognised() throws IOException {
        fault("truncate");
        byte[] body = bodyOf(exchange(post("r1", "a body that is cut short")));
        assertTrue(body.length > 0);
        assertTrue(EchoedAnswer.parse(body).isEmpty());
        assertEquals(mBackend.executions().size(), 1);
    }

    @Test
    public void lostAnswerRanAllTheSame() throws IOException {
        fault("lose-answer");
        assertEquals(exchange(post("r1", "x")), "");
        assertEquals(mBackend.executions().size(), 1);
    }

    @Test
    public void swappedAnswersChangePlacesOnOneConnection() throws IOException {
        fault("swap");
        String first = post("r1", "one").replace("Connection: close\r\n", "");
        String answer = exchange(first + post("r2", "two"));
        assertTrue(answer.indexOf("r2 b1") > 0, answer);
        assertTrue(answer.indexOf("r2 b1") < answer.indexOf("r1 b1"), answer);
    }

    @Test
    public void connectionsBeyondTheLimitAreClosed() throws IOException {
        try (Socket a = connect();
                Socket b = connect();
                Socket c = connect()) {
            for (Socket socket : List.of(a, b, c)) {
                String request = post("r", "x").replace("Connection: close\r\n", "");
                socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
                assertTrue(socket.getInputStream().read() > 0);
            }
            assertEquals(exchange(post("r4", "x")), "");
        }
        assertEquals(mBackend.executions().size(), 3);
    }

    private void fault(String kind) throws IOException {
        String json = "{\"target\":\"requests\",\"kind\":\"" + kind + "\"}";
        String request =
                "POST /faults HTTP/1.1\r\nHost: b\r\nContent-Type: application/json\r\n"
                        + "Connection: close\r\nContent-Length: "
                        + json.length()
                        + "\r\n\r\n"
                        + json;
        assertTrue(exchange(request).startsWith("HTTP/1.1 202"));
    }

    private static String post(String id, String body) {
        return "POST /assess HTTP/1.1\r\nHost: b\r\nFoxtail-Request-Id: "
                + id
                + "\r\nIdempotency-Key: key-"
                + id
                + "\r\nConnection: close\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private String exchange(String request) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            return text(readAll(socket));
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(mBackend.address().getAddress(), mBackend.address().getPort());
        socket.setSoTimeout(READ_TIMEOUT_MS);
        return socket;
    }

    private static byte[] readAll(Socket socket) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        InputStream in = socket.getInputStream();
        try {
            in.transferTo(all);
        } catch (java.net.SocketException ignored) {
            // A reset ends the answer just like a close.
        }
        return all.toByteArray();
    }

    private static byte[] bodyOf(String answer) {
        return answer.substring(answer.indexOf("\r\n\r\n") + 4)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }
}
