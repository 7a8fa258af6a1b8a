package org.foxtailplank.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;

/** A caller on a plain socket that sends the bytes given by the test. */
final class RawCaller implements AutoCloseable {

    private static final int READ_TIMEOUT_MS = 30_000;

    private final Socket mSocket;

    RawCaller(URI entry) throws IOException {
        mSocket = new Socket(entry.getHost(), entry.getPort());
        mSocket.setSoTimeout(READ_TIMEOUT_MS);
    }

    void send(String text) throws IOException {
        mSocket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        mSocket.getOutputStream().flush();
    }

    /** Formats a request with the given headers, each ended by CRLF. */
    static String request(String headers, String body) {
        return "POST /s/%s/assess HTTP/1.1\r\nHost: x\r\n%s\r\n%s"
                .formatted(TestSettings.SERVICE, headers, body);
    }

    /** Reads the head of an answer; empty if the connection is closed first. */
    String head() throws IOException {
        InputStream in = mSocket.getInputStream();
        StringBuilder text = new StringBuilder();
        try {
            for (int b = in.read(); b >= 0; b = in.read()) {
                text.append((char) b);
                if (text.toString().endsWith("\r\n\r\n")) {
                    return text.toString();
                }
            }
        } catch (java.net.SocketException expected) {
            return "";
        }
        return "";
    }

    /** Waits until the other side has closed the connection. */
    boolean closed() throws IOException {
        try {
            InputStream in = mSocket.getInputStream();
            while (in.read() >= 0) {
                continue;
            }
            return true;
        } catch (java.net.SocketException e) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
