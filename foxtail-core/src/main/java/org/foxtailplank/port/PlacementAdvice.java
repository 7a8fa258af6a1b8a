package org.foxtailplank.port;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The service that knows which workers may run the steps of some queues. */
public interface PlacementAdvice {

    /** Asks which of these workers may run a step of one run of a job. */
    void ask(String job, int run, int step, List<String> workers, Consumer<Advice> then);

    /**
     * An answer.
     *
     * @param answered whether there was one
     * @param tickets a ticket for each worker that may run the step
     * @param validMs how long the tickets hold, in milliseconds
     */
    record Advice(boolean answered, Map<String, String> tickets, long validMs) {
        public Advice {
            tickets = Map.copyOf(tickets);
        }
    }
}
