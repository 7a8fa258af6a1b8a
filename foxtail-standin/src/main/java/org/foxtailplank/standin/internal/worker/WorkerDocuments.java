package org.foxtailplank.standin.internal.worker;

import java.util.List;

/** Documents of the workers' interface. */
final class WorkerDocuments {

    private WorkerDocuments() {}

    /** A task to be started. */
    record Start(
            String task,
            long attempt,
            long leaseMs,
            double processors,
            long memoryBytes,
            int accelerators) {}

    /** An action on a task. */
    record Act(long attempt, String action, long leaseMs) {}

    /** Measured use. */
    record Usage(double processors, long memoryBytes) {}

    /** A task with its measured use. */
    record Task(String task, long attempt, String state, double processors, long memoryBytes) {}

    /** A worker. */
    record Worker(String id, String zone, List<Task> tasks, Usage usage) {}

    /** The list of workers. */
    record WorkerList(long asOfMs, List<Worker> workers) {}
}
