import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A small HTTP/1.1 server on a loopback address. */
final class Http {
    private static final ExecutorService THREADS =
            Executors.newCachedThreadPool(
                    r -> {
                        Thread t = new Thread(r, "standin");
                        t.setDaemon(true);
                        return t;
                    });

    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "2000");
        System.setProperty("sun.net.httpserver.idleInterval", "300");
    }

    private Http() {}

    record Request(
            String method, String path, Map<String, String> params, Map<String, String> headers,
            byte[] body) {
        String query(String name, String otherwise) {
            return params.getOrDefault(name, otherwise);
        }
    }

    record Reply(int status, byte[] body) {
        static Reply json(int status, String text) {
            return new Reply(status, text.getBytes(StandardCharsets.UTF_8));
        }
    }

    interface Handler {
        Reply handle(Request request) throws Exception;
    }

    /** Starts a server at a free port and returns its address as {@code ip:port}. */
    static String serve(Handler handler) throws IOException {
        HttpServer server =
                HttpServer.create(
                        new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1000);
        server.setExecutor(THREADS);
        server.createContext(
                "/",
                exchange -> {
                    byte[] body = exchange.getRequestBody().readAllBytes();
                    Map<String, String> params = new HashMap<>();
                    String query = exchange.getRequestURI().getRawQuery();
                    if (query != null) {
                        for (String pair : query.split("&")) {
                            String[] parts = pair.split("=", 2);
                            params.put(
                                    parts[0],
                                    URLDecoder.decode(
                                            parts.length > 1 ? parts[1] : "",
                                            StandardCharsets.UTF_8));
                        }
                    }
                    Map<String, String> headers = new HashMap<>();
                    exchange.getRequestHeaders()
                            .forEach((k, v) -> headers.put(k.toLowerCase(), v.get(0)));
                    Reply reply;
                    try {
                        reply =
                                handler.handle(
                                        new Request(
                                                exchange.getRequestMethod(),
                                                exchange.getRequestURI().getPath(),
                                                params,
                                                headers,
                                                body));
                    } catch (Exception e) {
                        e.printStackTrace();
                        reply = new Reply(500, new byte[0]);
                    }
                    int length = reply.body().length;
                    exchange.getResponseHeaders().set("Content-Type", "application/json");
                    exchange.sendResponseHeaders(reply.status(), length == 0 ? -1 : length);
                    if (length > 0) {
                        exchange.getResponseBody().write(reply.body());
                    }
                    exchange.close();
                });
        server.start();
        return "127.0.0.1:" + server.getAddress().getPort();
    }
}
