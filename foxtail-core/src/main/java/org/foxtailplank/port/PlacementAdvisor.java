package org.foxtailplank.port;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Client of the service that decides which workers may run the steps of some queues. */
public interface PlacementAdvisor {

    /**
     * Requests tickets for those of the workers that may run a step of one run of a job.
     *
     * @param timeoutMs how long to wait for the response, in milliseconds
     */
    void ask(
            String job,
            int run,
            int step,
            List<String> workers,
            long timeoutMs,
            Consumer<Advice> callback);

    /**
     * Result of a request.
     *
     * @param answered whether the service responded
     * @param tickets tickets by worker ID, for each worker that may run the step
     * @param validMs validity period of the tickets, in milliseconds
     */
    record Advice(boolean answered, Map<String, String> tickets, long validMs) {
        public Advice {
            tickets = Map.copyOf(tickets);
        }
    }
}
