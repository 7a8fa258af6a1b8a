package org.foxtailplank.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import org.foxtailplank.adapter.standin.StandinListener;

/** All events of a run in their order; written to from several threads. */
final class SoakHistory implements StandinListener {
    private final List<SoakEvent> mEvents = new ArrayList<>();
    private final long mBeginNs = System.nanoTime();

    long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mBeginNs);
    }

    /** Adds an event that happens now. */
    synchronized void add(LongFunction<SoakEvent> event) {
        mEvents.add(event.apply(nowMs()));
    }

    synchronized List<SoakEvent> events() {
        return List.copyOf(mEvents);
    }

    @Override
    public void started(RunStart r) {
        if (r.late()) {
            add(t -> new SoakEvent.ExecutedLate(t, r.task(), r.attempt()));
        }
        add(
                t ->
                        new SoakEvent.Started(
                                t, r.task(), r.attempt(), r.workerInstance(), r.token(), r.spec()));
    }

    @Override
    public void workerStarted(String worker, String pool, String kind, long processors) {
        add(t -> new SoakEvent.WorkerStarted(t, worker, pool, kind, processors));
    }

    @Override
    public void workerEnded(String worker) {
        add(t -> new SoakEvent.WorkerEnded(t, worker));
    }

    @Override
    public void ended(String task, int attempt, String worker, String how) {
        add(t -> new SoakEvent.Ended(t, task, attempt, worker, how));
    }

    @Override
    public void acknowledged(String task, int attempt, String worker, String how) {
        add(t -> new SoakEvent.Acknowledged(t, task, attempt, worker, how));
    }

    @Override
    public void draining(String worker) {
        add(t -> new SoakEvent.Draining(t, worker));
    }

    @Override
    public void capacityChanged(String worker, long processors) {
        add(t -> new SoakEvent.CapacityChanged(t, worker, processors));
    }

    @Override
    public void vmActionExecuted(String vm, String action, long token) {
        add(t -> new SoakEvent.VmCalled(t, vm, action, token));
    }
}
