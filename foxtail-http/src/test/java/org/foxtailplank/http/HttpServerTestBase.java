package org.foxtailplank.http;

import static org.testng.Assert.assertNotNull;

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
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** Starts a server whose answers to one path are held back, and reads answers as they are sent. */
abstract class HttpServerTestBase {
    static final int MAX_BODY = 64 << 10;
    static final int REQUEST_MS = 5000;

    /** More than the socket buffers of both sides hold. */
    static final int LONG_ANSWER = 16 << 20;

    /** More than a rejected caller has, and less than any other. */
    static final int SLOW_MS = 3000;

    static final int SHORT_REQUEST_MS = 1000;
    static final int TIMEOUT_MS = 30_000;
    static final String POST = "POST /x HTTP/1.1\r\nHost: h\r\n";
    static final String CHUNKED = POST + "Transfer-Encoding: chunked\r\n\r\n";

    final List<Socket> mSockets = new ArrayList<>();
    final BlockingQueue<Consumer<HttpReply>> mHeld = new LinkedBlockingQueue<>();
    MultiThreadIoEventLoopGroup mGroup;
    EventLoop mLoop;
    HttpServer mServer;

    @BeforeMethod
    public void setUp() throws IOException {
        mGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        mLoop = (EventLoop) mGroup.next();
        mHeld.clear();
        mServer = bind(REQUEST_MS);
    }

    HttpServer bind(long requestMs) throws IOException {
        return bind(requestMs, MAX_BODY);
    }

    HttpServer bind(long requestMs, int memoryBytes) throws IOException {
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
    Consumer<HttpReply> awaitHeld() throws InterruptedException {
        Consumer<HttpReply> reply = mHeld.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertNotNull(reply, "no request was held within " + TIMEOUT_MS + " ms");
        return reply;
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(mServer.address().getAddress(), mServer.address().getPort());
        socket.setSoTimeout(TIMEOUT_MS);
        mSockets.add(socket);
        return socket;
    }

    Socket send(String text) throws IOException {
        Socket socket = connect();
        send(socket, text);
        return socket;
    }

    static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }

    /** Reads one answer, and returns its status and body. */
    static String answer(BufferedReader in) throws IOException {
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

    static String announced(int bytes) {
        return POST + "Content-Length: " + bytes + "\r\n\r\n";
    }

    /** Head of a request whose caller sends the body once it is invited. */
    static String expecting(int bytes) {
        return POST + "Expect: 100-continue\r\nContent-Length: " + bytes + "\r\n\r\n";
    }
}
