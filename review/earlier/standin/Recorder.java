package review.standin;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to a file, with milliseconds since the start. */
public final class Recorder implements AutoCloseable {
    private final PrintWriter mOut;
    private final long mStartNs = System.nanoTime();

    public Recorder(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Returns the milliseconds since the start. */
    public long nowMs() {
        return (System.nanoTime() - mStartNs) / 1_000_000;
    }

    /** Writes one line. */
    public synchronized void line(String format, Object... arguments) {
        mOut.printf("%8d  ", nowMs());
        mOut.printf(format, arguments);
        mOut.println();
        mOut.flush();
    }

    @Override
    public synchronized void close() {
        mOut.close();
    }
}
