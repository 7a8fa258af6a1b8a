package org.foxtailplank.node.owner;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.port.ChangeFeed;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.WorkerInfo;
import org.foxtailplank.schedule.Scheduler;
import org.foxtailplank.schedule.WorkerState;

/** Follows the directory of workers and polls each worker that it lists. */
final class WorkerDirectoryFollower {
    /** Delay before a failed initial read is retried, in milliseconds. */
    private static final long READ_RETRY_DELAY_MS = 150;

    /** How long a read waits for a change, in milliseconds. */
    private static final long CHANGES_WAIT_MS = 300;

    /** Delay after a read, in milliseconds, which batches VMs that join together after a move. */
    private static final long READ_PAUSE_MS = 30;

    /** Delay after a failed read, in milliseconds. */
    private static final long FAILED_READ_PAUSE_MS = 300;

    /** Most unreadable entries, and entries of unknown services, that are kept. */
    private static final int MAX_FOREIGN_ENTRIES = 10_000;

    private final OwnerSession mOwner;
    private final OwnerContext mContext;
    private final Scheduler mScheduler;
    private final long mToken;
    private final Map<WorkerState, WorkerPoller> mPollers = new HashMap<>();

    /** Entries of services that the configuration does not contain, or not yet. */
    private final Map<String, WorkerInfo> mUnconfigured = new HashMap<>();

    /** Keys whose last entry was unreadable, so that each is logged once. */
    private final Set<String> mUnreadable = new HashSet<>();

    private Optional<ChangeFeed.Page<WorkerInfo>> mInitialPage = Optional.empty();
    private long mPosition = -1;
    private long mReadSentMs;

    WorkerDirectoryFollower(OwnerSession owner, OwnerContext context, long token) {
        mOwner = owner;
        mContext = context;
        mScheduler = owner.scheduler();
        mToken = token;
    }

    /** Reads the directory, retrying until it succeeds, then runs {@code callback}. */
    void readInitial(Runnable callback) {
        mContext.platform()
                .directory()
                .latest(
                        result -> {
                            if (result instanceof ChangeFeed.Page<WorkerInfo> page) {
                                mInitialPage = Optional.of(page);
                                callback.run();
                            } else if (!mOwner.hasEnded()) {
                                mContext.timers()
                                        .after(READ_RETRY_DELAY_MS, () -> readInitial(callback));
                            }
                        });
    }

    /** Whether the initial read has succeeded. */
    boolean isInitialRead() {
        return mInitialPage.isPresent();
    }

    /** Applies the initial read and starts polling the workers. */
    void applyInitial() {
        apply(mInitialPage.orElseThrow());
    }

    /** Follows changes until the owner's work ends. */
    void follow() {
        if (mOwner.hasEnded()) {
            return;
        }
        mReadSentMs = mContext.clock().nowMs();
        if (mPosition < 0) {
            mContext.platform().directory().latest(this::handleEntries);
        } else {
            mContext.platform()
                    .directory()
                    .changes(mPosition, CHANGES_WAIT_MS, this::handleChanges);
        }
    }

    private void handleChanges(ChangeFeed.Result<WorkerInfo> result) {
        if (result instanceof ChangeFeed.Gap) {
            // A pause would delay the use of VMs that join while the store drops its history.
            mPosition = -1;
            follow();
        } else {
            handle(result, READ_PAUSE_MS);
        }
    }

    /**
     * Handles a read of all entries. If each read of changes meets a gap, these reads take at most
     * half of the link, since the next one waits as long as this one took.
     */
    private void handleEntries(ChangeFeed.Result<WorkerInfo> result) {
        handle(result, Math.max(READ_PAUSE_MS, mContext.clock().nowMs() - mReadSentMs));
    }

    private void handle(ChangeFeed.Result<WorkerInfo> result, long pauseMs) {
        if (mOwner.hasEnded()) {
            return;
        }
        if (result instanceof ChangeFeed.Page<WorkerInfo> page) {
            apply(page);
            mContext.timers().after(pauseMs, this::follow);
        } else {
            mContext.timers().after(FAILED_READ_PAUSE_MS, this::follow);
        }
    }

    private void apply(ChangeFeed.Page<WorkerInfo> page) {
        mPosition = page.next();
        page.items().forEach(this::apply);
        addNewlyConfigured();
        mOwner.scheduleDecision();
    }

    /**
     * Applies one entry. An unreadable entry, written by a foreign writer, unlists the worker:
     * nobody knows whether it is draining until its own next entry.
     */
    private void apply(ChangeFeed.Item<WorkerInfo> item) {
        String worker = item.key();
        boolean wasUnreadable = mUnreadable.remove(worker);
        boolean wasUnconfigured = mUnconfigured.remove(worker) != null;
        if (!item.readable()) {
            boolean kept = mUnreadable.size() < MAX_FOREIGN_ENTRIES && mUnreadable.add(worker);
            if (kept && !wasUnreadable) {
                mContext.log()
                        .line("worker-unreadable")
                        .with("worker", worker)
                        .with("why", item.problem().orElse(""))
                        .write();
            }
            mScheduler.unlistWorker(worker);
        } else if (item.value().isEmpty()) {
            unlist("worker-unlisted", worker, true);
        } else if (isConfigured(item.value().get())) {
            addListed(item.value().get());
        } else {
            if (mUnconfigured.size() < MAX_FOREIGN_ENTRIES) {
                mUnconfigured.put(worker, item.value().get());
            }
            unlist("worker-unnamed", worker, !wasUnconfigured);
        }
    }

    private void unlist(String event, String worker, boolean shouldLog) {
        if (shouldLog) {
            mContext.log().line(event).with("worker", worker).write();
        }
        mScheduler.unlistWorker(worker);
    }

    /**
     * Whether the configuration contains the worker's service. Without a configuration every
     * service counts, because leases of running tasks must still be renewed.
     */
    private boolean isConfigured(WorkerInfo worker) {
        Optional<FleetConfig> config = mContext.operator().config();
        return config.isEmpty() || config.get().service(worker.service()).isPresent();
    }

    private void addNewlyConfigured() {
        List<WorkerInfo> configured =
                mUnconfigured.values().stream().filter(this::isConfigured).toList();
        for (WorkerInfo worker : configured) {
            mUnconfigured.remove(worker.id());
            addListed(worker);
        }
    }

    private void addListed(WorkerInfo info) {
        Optional<WorkerState> known = mScheduler.worker(info.id());
        boolean startsDraining =
                known.map(w -> !w.registration().isDraining()).orElse(true) && info.draining();
        boolean lackedEntry = known.map(w -> !w.registration().isKnown()).orElse(false);
        boolean pollNow = mScheduler.updateWorker(info, mContext.clock().nowMs());
        if (known.isEmpty() || startsDraining) {
            mContext.log()
                    .line("worker")
                    .with("worker", info.id())
                    .with("startMs", info.incarnation().startMs())
                    .with("service", info.service())
                    .with("rack", info.rack())
                    .with("draining", info.draining())
                    .write();
        }
        WorkerState worker = mScheduler.worker(info.id()).orElseThrow();
        if (lackedEntry && worker.registration().isKnown()) {
            mContext.log()
                    .line("worker-registered")
                    .with("worker", info.id())
                    .with("startMs", info.incarnation().startMs())
                    .with("withoutEntryMs", mContext.clock().nowMs() - worker.firstSeenMs())
                    .write();
        }
        WorkerPoller poller = mPollers.get(worker);
        if (poller == null) {
            poller = addPoller(worker);
            mScheduler.lateStarts(worker, mContext.clock().nowMs()).forEach(poller::stopOrphan);
            mContext.timers().after(0, poller::poll);
        } else if (pollNow) {
            mContext.timers().after(0, poller::poll);
        }
    }

    /** Adds the poller of a worker's incarnation; the caller starts it. */
    WorkerPoller addPoller(WorkerState worker) {
        WorkerPoller poller = new WorkerPoller(mOwner, mContext, worker, mToken);
        mPollers.put(worker, poller);
        return poller;
    }

    /** Whether the directory names a worker by an entry that can't be used, or not yet. */
    boolean hasUnusableEntry(String worker) {
        return mUnreadable.contains(worker) || mUnconfigured.containsKey(worker);
    }

    /** Address at which a worker's incarnation has last answered a poll. */
    Optional<String> answeredAt(WorkerState worker) {
        return Optional.ofNullable(mPollers.get(worker)).flatMap(WorkerPoller::answeredAt);
    }

    /** Stops polling a worker whose incarnation has ended or that was dropped. */
    void stopPolling(WorkerState worker) {
        WorkerPoller poller = mPollers.remove(worker);
        if (poller != null) {
            poller.stop();
        }
    }
}
