import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP helpers of the stand-ins: a server on a loopback address, and a client. */
final class Web {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final ExecutorService THREADS =
            Executors.newCachedThreadPool(
                    r -> {
                        Thread thread = new Thread(r);
                        thread.setDaemon(true);
                        return thread;
                    });

    private Web() {}

    /** Handles a request; returns null to leave it without a response. */
    interface Handler {
        Reply handle(Call call) throws Exception;
    }

    record Call(
            String method,
            String path,
            Map<String, String> query,
            HttpExchange exchange,
            byte[] body) {
        JsonNode json() throws IOException {
            return JSON.readTree(body);
        }

        String header(String name) {
            String value = exchange.getRequestHeaders().getFirst(name);
            return value == null ? "" : value;
        }
    }

    record Reply(int status, byte[] body, String type) {
        static Reply json(int status, JsonNode body) {
            return new Reply(
                    status, body.toString().getBytes(StandardCharsets.UTF_8), "application/json");
        }

        static Reply raw(byte[] body) {
            return new Reply(200, body, "application/octet-stream");
        }
    }

    static ObjectNode object() {
        return JSON.createObjectNode();
    }

    /** Starts a server on a free port of the loopback address. */
    static HttpServer serve(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 256);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> serve(exchange, handler));
        server.start();
        return server;
    }

    private static void serve(HttpExchange exchange, Handler handler) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Reply reply;
        try {
            reply =
                    handler.handle(
                            new Call(
                                    exchange.getRequestMethod(),
                                    exchange.getRequestURI().getPath(),
                                    query(exchange.getRequestURI().getRawQuery()),
                                    exchange,
                                    body));
        } catch (Exception e) {
            e.printStackTrace();
            reply = Reply.json(500, object());
        }
        if (reply == null) {
            exchange.close();
            return;
        }
        exchange.getResponseHeaders().set("Content-Type", reply.type());
        exchange.sendResponseHeaders(
                reply.status(), reply.body().length == 0 ? -1 : reply.body().length);
        if (reply.body().length > 0) {
            exchange.getResponseBody().write(reply.body());
        }
        exchange.close();
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        if (raw != null) {
            for (String part : raw.split("&")) {
                int equals = part.indexOf('=');
                query.put(
                        part.substring(0, equals),
                        URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    static List<Integer> freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            sockets.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (ServerSocket s : sockets) {
            s.close();
        }
        return ports;
    }

    /** A response; status 0 stands for none. */
    record Answer(int status, String body) {}

    /** Sends one request on a connection of its own. */
    static Answer send(
            int port, String method, String host, String path, String body, int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMs);
            socket.setSoTimeout(timeoutMs);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head =
                    method
                            + " "
                            + path
                            + " HTTP/1.1\r\nHost: "
                            + host
                            + "\r\nContent-Type: application/json\r\nDeadline-Ms: "
                            + timeoutMs
                            + "\r\nConnection: close\r\nContent-Length: "
                            + bytes.length
                            + "\r\n\r\n";
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.writeBytes(head.getBytes(StandardCharsets.UTF_8));
            request.writeBytes(bytes);
            socket.getOutputStream().write(request.toByteArray());
            InputStream in = socket.getInputStream();
            String response = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            int end = response.indexOf("\r\n\r\n");
            if (end < 0) {
                return new Answer(0, "");
            }
            return new Answer(
                    Integer.parseInt(response.split(" ")[1]), response.substring(end + 4));
        } catch (IOException e) {
            return new Answer(0, "");
        }
    }
}
