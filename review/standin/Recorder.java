import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/** Writes what was sent, answered and run to record.txt. */
final class Recorder {
    private final long mStartMs = System.nanoTime() / 1_000_000;
    private final PrintWriter mOut;
    private final Map<String, Integer> mCounts = new TreeMap<>();

    Recorder(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file));
    }

    long nowMs() {
        return System.nanoTime() / 1_000_000 - mStartMs;
    }

    synchronized void line(String text) {
        mOut.printf("%7.3f %s%n", nowMs() / 1000.0, text);
        mOut.flush();
    }

    synchronized void count(String what) {
        mCounts.merge(what, 1, Integer::sum);
    }

    /** Writes a line for the first event of a kind, which {@link #count} has counted before. */
    synchronized void first(String what, String detail) {
        if (mCounts.getOrDefault(what, 0) == 1) {
            line("first " + what + ": " + detail);
        }
    }

    synchronized void close() {
        mCounts.forEach((what, n) -> line("count " + what + ": " + n));
        mOut.close();
    }
}
