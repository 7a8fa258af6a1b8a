package review.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;

/** An HTTP server on a free port of the loopback interface. */
final class Server implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final int BACKLOG = 200;

    private final HttpServer mServer;

    /** Answers a request; returns null for no answer at all. */
    interface Handler {
        Answer handle(Request request) throws Exception;
    }

    /** A request with its whole body. */
    record Request(HttpExchange exchange, byte[] body) {
        String path() {
            return exchange.getRequestURI().getPath();
        }

        String header(String name) {
            return exchange.getRequestHeaders().getFirst(name);
        }

        /** Returns the parameters of the query. */
        Map<String, String> query() {
            Map<String, String> found = new HashMap<>();
            String query = exchange.getRequestURI().getQuery();
            for (String pair : query == null ? new String[0] : query.split("&")) {
                int equals = pair.indexOf('=');
                found.put(pair.substring(0, equals), pair.substring(equals + 1));
            }
            return found;
        }

        JsonNode json() throws IOException {
            return JSON.readTree(body);
        }
    }

    /** A response. */
    record Answer(int status, String contentType, byte[] body) {
        static Answer empty(int status) {
            return new Answer(status, "", new byte[0]);
        }

        static Answer json(int status, Object body) {
            return new Answer(
                    status, "application/json", body.toString().getBytes(StandardCharsets.UTF_8));
        }
    }

    Server(ExecutorService threads, Handler handler) throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        mServer = HttpServer.create(new InetSocketAddress(loopback, 0), BACKLOG);
        mServer.setExecutor(threads);
        mServer.createContext("/", exchange -> serve(exchange, handler));
        mServer.start();
    }

    private static void serve(HttpExchange exchange, Handler handler) throws IOException {
        Answer answer;
        try {
            byte[] body = exchange.getRequestBody().readAllBytes();
            answer = handler.handle(new Request(exchange, body));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        } catch (Exception e) {
            answer = Answer.empty(400);
        }
        if (answer == null) {
            return;
        }
        if (!answer.contentType().isEmpty()) {
            exchange.getResponseHeaders().set("Content-Type", answer.contentType());
        }
        exchange.sendResponseHeaders(
                answer.status(), answer.body().length == 0 ? -1 : answer.body().length);
        exchange.getResponseBody().write(answer.body());
        exchange.close();
    }

    String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    @Override
    public void close() {
        mServer.stop(0);
    }
}
