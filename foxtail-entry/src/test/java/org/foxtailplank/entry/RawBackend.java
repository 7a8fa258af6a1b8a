package org.foxtailplank.entry;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.request.BackendServer;

/** A backend server on plain sockets, scripted by the test. */
final class RawBackend implements AutoCloseable {

    /** Handles one request; the socket is closed when this returns false. */
    interface Script {
        boolean serve(String head, String body, Socket socket) throws IOException;
    }

    private final ServerSocket mListener;
    private final List<Socket> mSockets = new CopyOnWriteArrayList<>();
    private final List<String> mBodies = new CopyOnWriteArrayList<>();
    private final AtomicInteger mAccepted = new AtomicInteger();
    private volatile Script mScript;
    private volatile String mHealth = "serving";

    private RawBackend(Script script) throws IOException {
        mScript = script;
        mListener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        startDaemon(this::accept);
    }

    static RawBackend running(Script script) {
        try {
            return new RawBackend(script);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Starts a server that answers each request with its body. */
    static RawBackend echoing() {
        return running((head, body, socket) -> write(socket, response(200, "", body)));
    }

    void script(Script script) {
        mScript = script;
    }

    void health(String state) {
        mHealth = state;
    }

    /** Returns the bodies of the received requests, in order. */
    List<String> receivedBodies() {
        return mBodies;
    }

    int acceptedConnections() {
        return mAccepted.get();
    }

    long openConnections() {
        return mSockets.stream().filter(s -> !s.isClosed()).count();
    }

    BackendServer asServer(String vm, String service, String zone) {
        return new BackendServer(
                VmId.of(vm),
                ServiceId.of(service),
                ZoneId.of(zone),
                (InetSocketAddress) mListener.getLocalSocketAddress());
    }

    static String response(int status, String headers, String body) {
        return "HTTP/1.1 %d X\r\n%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s"
                .formatted(status, headers, body.length(), body);
    }

    static boolean write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
        return true;
    }

    @Override
    public void close() {
        closeQuietly(mListener);
        mSockets.forEach(RawBackend::closeQuietly);
    }

    private void accept() {
        try {
            while (true) {
                Socket s = mListener.accept();
                mAccepted.incrementAndGet();
                mSockets.add(s);
                startDaemon(() -> serve(s));
            }
        } catch (IOException expected) {
            closeQuietly(mListener);
        }
    }

    private void serve(Socket s) {
        try (s) {
            InputStream in = new BufferedInputStream(s.getInputStream());
            boolean keepOpen = true;
            for (String h = head(in); keepOpen && !h.isEmpty(); h = keepOpen ? head(in) : "") {
                if (h.startsWith("GET /health ")) {
                    write(s, response(200, "", "{\"state\":\"" + mHealth + "\"}"));
                    continue;
                }
                String body = new String(in.readNBytes(length(h)), StandardCharsets.UTF_8);
                mBodies.add(body);
                keepOpen = mScript.serve(h, body, s);
            }
        } catch (IOException expected) {
            closeQuietly(s);
        }
    }

    private static String head(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        String text = "";
        for (int b = in.read(); b >= 0; b = in.read()) {
            out.write(b);
            text = b == '\n' ? out.toString(StandardCharsets.UTF_8) : text;
            if (text.endsWith("\r\n\r\n")) {
                return text;
            }
        }
        return "";
    }

    private static int length(String head) {
        return head.lines()
                .filter(l -> l.toLowerCase().startsWith("content-length:"))
                .mapToInt(l -> Integer.parseInt(l.substring(l.indexOf(':') + 1).strip()))
                .findFirst()
                .orElse(0);
    }

    private static void startDaemon(Runnable task) {
        Thread t = new Thread(task, "raw-backend");
        t.setDaemon(true);
        t.start();
    }

    private static void closeQuietly(AutoCloseable c) {
        try {
            c.close();
        } catch (Exception ignored) {
            // Closing is best effort.
        }
    }
}
