package org.foxtailplank.review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with seconds since its beginning. */
final class Record implements AutoCloseable {
    private final long mBeginNs = System.nanoTime();
    private final PrintWriter mOut;

    Record(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file));
    }

    double seconds() {
        return (System.nanoTime() - mBeginNs) / 1e9;
    }

    synchronized void line(String text) {
        mOut.printf("%8.3f %s%n", seconds(), text);
    }

    /** Writes a line that is printed too. */
    synchronized void say(String text) {
        line(text);
        System.out.printf("%8.3f %s%n", seconds(), text);
    }

    @Override
    public synchronized void close() {
        mOut.close();
    }
}
