package org.foxtailplank.process;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.logging.LogRecord;

/**
 * Named fields of a log record, for example a request id.
 *
 * @param values values by name
 */
record LogFields(Map<String, String> values) {
    static final LogFields NONE = new LogFields(Map.of());

    LogFields with(String name, Object value) {
        Map<String, String> merged = new LinkedHashMap<>(values);
        merged.put(name, String.valueOf(value));
        return new LogFields(merged);
    }

    /** Returns the fields of a record, or empty if it was not logged by {@link Log}. */
    static Optional<LogFields> of(LogRecord record) {
        Object[] parameters = record.getParameters();
        return parameters != null && parameters.length == 1 && parameters[0] instanceof LogFields f
                ? Optional.of(f)
                : Optional.empty();
    }
}
