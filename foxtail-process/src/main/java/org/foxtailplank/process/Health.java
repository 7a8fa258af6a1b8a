package org.foxtailplank.process;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Map;

/**
 * Body of the health endpoint.
 *
 * @param state {@code serving}, {@code starting} or {@code leaving}
 * @param details further values for operators, by name
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record Health(String state, Map<String, Object> details) {
    /** State of a process that accepts work. */
    public static final String SERVING = "serving";

    public Health {
        // Empty details are omitted from the JSON.
        details = details == null ? Map.of() : Map.copyOf(details);
    }

    /** Returns whether the process accepts work. */
    boolean isServing() {
        return SERVING.equals(state);
    }
}
