package org.foxtailplank.process;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;

/** Sets up where and how logs are written. */
public final class Logs {
    /** Held here, since the log manager forgets levels of loggers that nobody holds. */
    private static final Logger PEKKO = Logger.getLogger("org.apache.pekko");

    private Logs() {}

    /** Writes all logs of the process to one stream. */
    public static void configure(LogFormat format, LogLevel level, PrintStream stream) {
        clear(LogManager.getLogManager());
        Logger root = Logger.getLogger("");
        root.setLevel(level.level());
        PEKKO.setLevel(Level.WARNING);
        root.addHandler(new FlushingHandler(stream, format));
    }

    private static void clear(LogManager manager) {
        if (manager instanceof LastingLogManager lasting) {
            lasting.clear();
        } else {
            manager.reset();
        }
    }

    /** Writes each line at once, so that a killed process loses none. */
    private static final class FlushingHandler extends StreamHandler {
        FlushingHandler(OutputStream out, LogFormat format) {
            super(out, format.formatter());
            setLevel(Level.ALL);
        }

        @Override
        public synchronized void publish(LogRecord record) {
            super.publish(record);
            flush();
        }

        @Override
        public synchronized void close() {
            flush();
        }
    }
}
