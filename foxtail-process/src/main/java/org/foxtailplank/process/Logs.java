package org.foxtailplank.process;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;

/** Configures logging of the process. */
public final class Logs {
    /** Strong reference, since the log manager holds loggers weakly and their levels get lost. */
    private static final Logger PEKKO = Logger.getLogger("org.apache.pekko");

    private Logs() {}

    /** Writes all log records of the process to one stream. */
    public static void configure(LogFormat format, LogLevel level, PrintStream stream) {
        reset(LogManager.getLogManager());
        Logger root = Logger.getLogger("");
        root.setLevel(level.level());
        PEKKO.setLevel(Level.WARNING);
        root.addHandler(new FlushingHandler(stream, format));
    }

    private static void reset(LogManager manager) {
        if (manager instanceof NonResettingLogManager nonResetting) {
            nonResetting.forceReset();
        } else {
            manager.reset();
        }
    }

    /** Flushes after each record, so that none is lost when the process is killed. */
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
