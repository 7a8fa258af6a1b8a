package org.foxtailplank.process;

import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Formats records as {@code time level component: message name=value}. */
final class TextLogFormatter extends Formatter {
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneOffset.UTC);

    @Override
    public String format(LogRecord record) {
        StringBuilder line = new StringBuilder(TIME.format(record.getInstant()));
        line.append(' ').append(LogLines.level(record)).append(' ');
        line.append(LogLines.part(record)).append(": ").append(LogLines.message(this, record));
        LogLines.fields(record)
                .forEach((name, value) -> line.append(' ').append(name).append('=').append(value));
        LogLines.error(record).ifPresent(e -> line.append(" (").append(e).append(')'));
        return LogLines.escapeLineBreaks(line.toString()) + "\n";
    }
}
