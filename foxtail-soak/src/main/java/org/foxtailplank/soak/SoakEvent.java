package org.foxtailplank.soak;

/** What callers, workers and the VM service saw; times are milliseconds from the first caller. */
sealed interface SoakEvent {
    long atMs();

    /** A job was handed in at a node. */
    record Submitted(long atMs, SoakJob job, int node) implements SoakEvent {}

    /** What came of it: the status, or 0 for no answer. */
    record SubmitAnswer(long atMs, String job, int node, int status) implements SoakEvent {
        boolean isAccepted() {
            return status / 100 == 2;
        }

        /** Whether the caller was told that the job will never run. */
        boolean isRefused() {
            return status == 503 || status == 429;
        }
    }

    /** A caller begins to cancel a job. */
    record CancelSent(long atMs, String job) implements SoakEvent {}

    /** A job was cancelled; a caller has that in writing. */
    record Cancelled(long atMs, String job) implements SoakEvent {}

    /** A caller was told where a job stands. */
    record Told(long atMs, String job, int node, String state) implements SoakEvent {}

    /** A caller was told how many jobs of a queue wait. */
    record ToldPending(long atMs, String pool, int node, int count) implements SoakEvent {}

    /** At the end a node was asked for a job: the status, or 0 for no answer. */
    record AskedAtEnd(long atMs, String job, int node, int status, String state)
            implements SoakEvent {}

    /** A worker has begun a run. */
    record Started(long atMs, String task, int attempt, String worker, long token, String text)
            implements SoakEvent {}

    /** The worker is about to execute a start that has arrived some time before. */
    record ExecutedLate(long atMs, String task, int attempt) implements SoakEvent {}

    /**
     * A worker starts, with a new ID or under its former one; {@code processors} in thousandths.
     */
    record WorkerStarted(long atMs, String worker, String pool, String kind, long processors)
            implements SoakEvent {}

    /** A worker is gone, with all that ran there. */
    record WorkerEnded(long atMs, String worker) implements SoakEvent {}

    /** A run is over. */
    record Ended(long atMs, String task, int attempt, String worker, String how)
            implements SoakEvent {}

    /** An owner has taken note of a run's end. */
    record Acknowledged(long atMs, String task, int attempt, String worker, String how)
            implements SoakEvent {}

    /** A worker has announced that it leaves. */
    record Draining(long atMs, String worker) implements SoakEvent {}

    /** A running worker's capacity has changed; {@code processors} are thousandths. */
    record CapacityChanged(long atMs, String worker, long processors) implements SoakEvent {}

    /** A node's process has ended though nothing had ended it. */
    record EndedByItself(long atMs, String node, int status) implements SoakEvent {}

    /** A worker that has run for some time has not been polled lately. */
    record NotPolled(long atMs, String worker) implements SoakEvent {}

    /** The VM service has carried a call out. */
    record VmCalled(long atMs, String vm, String action, long token) implements SoakEvent {}

    /** The operator's configuration has a key from now on, or no more. */
    record KeyChanged(long atMs, String key, boolean valid) implements SoakEvent {}

    /** A request with a key that was sent at {@code sentMs} got an answer. */
    record KeyAnswered(long atMs, String key, long sentMs, int node, int status)
            implements SoakEvent {}

    /** The operator's configuration has a route from now on, or no more. */
    record RouteChanged(long atMs, String route, boolean added) implements SoakEvent {}

    /**
     * A request for a route that was sent at {@code sentMs} got an answer, in the {@code boot}th
     * life of the node's process.
     */
    record RouteAnswered(long atMs, String route, long sentMs, int node, int boot, int status)
            implements SoakEvent {}

    /** An organisation's cap on processors, in thousandths, is this from now on; 0 for none. */
    record CapSet(long atMs, String organisation, long processors) implements SoakEvent {}

    /** All faults are over, and all nodes that come back are back. */
    record Calm(long atMs) implements SoakEvent {}

    /** Processors of a task, from the text that it is started with. */
    static long processorsOf(String text) {
        return Long.parseLong(text.split(" ")[1]);
    }

    /** The job that a task belongs to. */
    static String jobOf(String task) {
        return task.substring(0, task.indexOf('.'));
    }
}
