package org.foxtailplank.review;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A consumer's channel to a node. */
final class Channel implements AutoCloseable {
    static final String HOST = "pule25.example";

    private final Socket mSocket = new Socket();
    private final InputStream mIn;
    private final OutputStream mOut;

    /** An answer. */
    record Answer(int status, String body) {}

    Channel(int port, int timeoutMs) throws IOException {
        mSocket.setTcpNoDelay(true);
        mSocket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMs);
        mSocket.setSoTimeout(timeoutMs);
        mIn = new BufferedInputStream(mSocket.getInputStream());
        mOut = mSocket.getOutputStream();
    }

    void send(String method, String path, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head =
                method
                        + ' '
                        + path
                        + " HTTP/1.1\r\nHost: "
                        + HOST
                        + "\r\nDeadline-Ms: 3000\r\n"
                        + (bytes.length == 0
                                ? ""
                                : "Content-Type: application/json\r\nContent-Length: "
                                        + bytes.length
                                        + "\r\n")
                        + "\r\n";
        byte[] text = head.getBytes(StandardCharsets.US_ASCII);
        byte[] whole = new byte[text.length + bytes.length];
        System.arraycopy(text, 0, whole, 0, text.length);
        System.arraycopy(bytes, 0, whole, text.length, bytes.length);
        mOut.write(whole);
        mOut.flush();
    }

    Answer receive() throws IOException {
        String status = readLine();
        int length = 0;
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            if (line.toLowerCase().startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
            }
        }
        byte[] body = mIn.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the answer is cut");
        }
        return new Answer(
                Integer.parseInt(status.split(" ")[1]), new String(body, StandardCharsets.UTF_8));
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int c = mIn.read();
            if (c < 0) {
                throw new EOFException("the channel has ended");
            }
            if (c == '\n') {
                return line.toString();
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
    }

    /** Sends one request on a new channel and returns its answer. */
    static Answer ask(int port, String method, String path, String body) throws IOException {
        try (Channel channel = new Channel(port, 3000)) {
            channel.send(method, path, body);
            return channel.receive();
        }
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
