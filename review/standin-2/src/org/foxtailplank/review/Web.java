package org.foxtailplank.review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP servers of the stand-ins on loopback addresses. */
final class Web {
    static final ObjectMapper JSON = new ObjectMapper();

    private static final ExecutorService THREADS =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task);
                        thread.setDaemon(true);
                        return thread;
                    });

    private Web() {}

    /** Answers one request. */
    interface Handler {
        Answer handle(Request request) throws IOException, InterruptedException;
    }

    /** A request with its decoded query. */
    record Request(String path, Map<String, String> query, HttpExchange exchange, byte[] body) {
        String text(String name) {
            return query.getOrDefault(name, "");
        }

        long number(String name, long missing) {
            return query.containsKey(name) ? Long.parseLong(query.get(name)) : missing;
        }

        String header(String name) {
            String value = exchange.getRequestHeaders().getFirst(name);
            return value == null ? "" : value;
        }

        JsonNode json() throws IOException {
            return JSON.readTree(body);
        }
    }

    /** An answer; a null body closes the connection without an answer. */
    record Answer(int status, byte[] body) {
        static final Answer NONE = new Answer(0, null);

        static Answer json(int status, JsonNode body) {
            return new Answer(status, body.toString().getBytes(StandardCharsets.UTF_8));
        }

        static Answer empty(int status) {
            return new Answer(status, new byte[0]);
        }
    }

    static HttpServer serve(int port, Handler handler) throws IOException {
        HttpServer server =
                HttpServer.create(
                        new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> answer(exchange, handler));
        server.start();
        return server;
    }

    static String address(HttpServer server) {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private static void answer(HttpExchange exchange, Handler handler) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Request request =
                new Request(
                        exchange.getRequestURI().getPath(),
                        query(exchange.getRequestURI().getRawQuery()),
                        exchange,
                        body);
        Answer answer;
        try {
            answer = handler.handle(request);
        } catch (InterruptedException | RuntimeException e) {
            e.printStackTrace();
            answer = Answer.NONE;
        }
        if (answer.body() == null) {
            exchange.close();
            return;
        }
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        int length = answer.body().length;
        exchange.sendResponseHeaders(answer.status(), length == 0 ? -1 : length);
        if (length > 0) {
            try (OutputStream out = exchange.getResponseBody()) {
                out.write(answer.body());
            }
        }
        exchange.close();
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> values = new HashMap<>();
        if (raw == null) {
            return values;
        }
        for (String pair : raw.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                values.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return values;
    }
}
