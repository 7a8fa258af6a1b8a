package org.foxtailplank.process;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Map;

/**
 * How a process is, as its health answer says it.
 *
 * @param state {@code serving}, {@code starting} or {@code leaving}
 * @param details what else an operator wants to see, by name
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record Health(String state, Map<String, Object> details) {
    /** State of a process that takes work. */
    public static final String SERVING = "serving";

    public Health {
        // A process without details leaves them out of its answer.
        details = details == null ? Map.of() : Map.copyOf(details);
    }

    /** Whether the process takes work. */
    boolean isServing() {
        return SERVING.equals(state);
    }
}
