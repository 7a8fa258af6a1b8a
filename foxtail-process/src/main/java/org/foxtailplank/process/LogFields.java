package org.foxtailplank.process;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.logging.LogRecord;

/**
 * Named values that a log line carries besides its sentence, for example the id of a request.
 *
 * @param values values by name
 */
record LogFields(Map<String, String> values) {
    static final LogFields NONE = new LogFields(Map.of());

    LogFields with(String name, Object value) {
        Map<String, String> all = new LinkedHashMap<>(values);
        all.put(name, String.valueOf(value));
        return new LogFields(all);
    }

    /** The fields that a line was logged with; empty when it does not come from {@link Log}. */
    static Optional<LogFields> of(LogRecord record) {
        Object[] parameters = record.getParameters();
        return parameters != null && parameters.length == 1 && parameters[0] instanceof LogFields f
                ? Optional.of(f)
                : Optional.empty();
    }
}
