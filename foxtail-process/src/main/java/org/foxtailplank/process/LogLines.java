package org.foxtailplank.process;

import java.util.Map;
import java.util.Optional;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/** Conversions of log records shared by both formats. */
final class LogLines {
    private LogLines() {}

    static String level(LogRecord record) {
        int level = record.getLevel().intValue();
        if (level >= Level.SEVERE.intValue()) {
            return "ERROR";
        }
        if (level >= Level.WARNING.intValue()) {
            return "WARN";
        }
        return level >= Level.INFO.intValue() ? "INFO" : "DEBUG";
    }

    static String part(LogRecord record) {
        String name = Optional.ofNullable(record.getLoggerName()).orElse("");
        return name.startsWith(Log.ROOT)
                ? name.substring(Log.ROOT.length())
                : name.substring(name.lastIndexOf('.') + 1);
    }

    /** Returns the message; records logged by {@link Log} are formatted already. */
    static String message(Formatter formatter, LogRecord record) {
        return LogFields.of(record).isPresent()
                ? record.getMessage()
                : formatter.formatMessage(record);
    }

    static Map<String, String> fields(LogRecord record) {
        return LogFields.of(record).orElse(LogFields.NONE).values();
    }

    static Optional<String> error(LogRecord record) {
        return Optional.ofNullable(record.getThrown()).map(Throwable::toString);
    }

    /** Escapes line breaks, which could be used to forge log lines. */
    static String escapeLineBreaks(String text) {
        return text.replace("\r", "\\r").replace("\n", "\\n");
    }
}
