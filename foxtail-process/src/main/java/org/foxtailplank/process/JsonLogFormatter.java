package org.foxtailplank.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Formats each log record as one line with a JSON object. */
final class JsonLogFormatter extends Formatter {
    @Override
    public String format(LogRecord record) {
        ObjectNode line = Json.object();
        line.put("time", record.getInstant().toString());
        line.put("level", LogLines.level(record));
        line.put("part", LogLines.part(record));
        line.put("message", LogLines.message(this, record));
        LogLines.fields(record).forEach(line::put);
        LogLines.error(record).ifPresent(e -> line.put("error", e));
        return line + "\n";
    }
}
