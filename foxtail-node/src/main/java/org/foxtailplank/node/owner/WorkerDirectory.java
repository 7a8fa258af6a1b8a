package org.foxtailplank.node.owner;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.port.Feed;
import org.foxtailplank.port.WorkerInfo;
import org.foxtailplank.schedule.Scheduler;
import org.foxtailplank.schedule.WorkerState;

/** Follows the directory of workers for an owner, and looks at each worker that it names. */
final class WorkerDirectory {
    /** Pause before a first read is repeated, in milliseconds. */
    private static final long RETRY_MS = 150;

    /** How long a read waits for a change, in milliseconds. */
    private static final long WAIT_MS = 300;

    /** Pause after a read, in milliseconds: VMs that move join side by side. */
    private static final long PAUSE_MS = 30;

    /** The same after a read that failed. */
    private static final long FAILED_MS = 300;

    private final OwnerWork mOwner;
    private final OwnerParts mParts;
    private final Scheduler mScheduler;
    private final long mToken;
    private final Map<String, Looker> mLookers = new HashMap<>();

    private Optional<Feed.Page<WorkerInfo>> mFirst = Optional.empty();
    private long mPosition = -1;

    WorkerDirectory(OwnerWork owner, OwnerParts parts, long token) {
        mOwner = owner;
        mParts = parts;
        mScheduler = owner.scheduler();
        mToken = token;
    }

    /** Reads it once, however often that takes, then goes on. */
    void read(Runnable then) {
        mParts.platform()
                .directory()
                .newest(
                        result -> {
                            if (result instanceof Feed.Page<WorkerInfo> page) {
                                mFirst = Optional.of(page);
                                then.run();
                            } else if (!mOwner.isOver()) {
                                mParts.timers().after(RETRY_MS, () -> read(then));
                            }
                        });
    }

    /** Whether it was read once. */
    boolean isRead() {
        return mFirst.isPresent();
    }

    /** Takes what the first read told, and looks at all workers; follows from there on. */
    void takeFirst() {
        take(mFirst.orElseThrow());
    }

    /** Begins to follow; goes on while the owner works. */
    void follow() {
        if (mOwner.isOver()) {
            return;
        }
        if (mPosition < 0) {
            mParts.platform().directory().newest(this::followed);
        } else {
            mParts.platform().directory().changes(mPosition, WAIT_MS, this::followed);
        }
    }

    private void followed(Feed.Result<WorkerInfo> result) {
        if (mOwner.isOver()) {
            return;
        }
        if (result instanceof Feed.Page<WorkerInfo> page) {
            take(page);
        } else if (result instanceof Feed.Gap) {
            mPosition = -1;
        }
        long pause = result instanceof Feed.Page ? PAUSE_MS : FAILED_MS;
        mParts.timers().after(pause, this::follow);
    }

    private void take(Feed.Page<WorkerInfo> page) {
        mPosition = page.next();
        for (Feed.Item<WorkerInfo> item : page.items()) {
            if (item.value().isPresent()) {
                listed(item.value().get());
            } else {
                mParts.log().line("worker-unlisted").with("worker", item.key()).write();
                mScheduler.workerUnlisted(item.key());
            }
        }
        mOwner.decisionDue();
    }

    private void listed(WorkerInfo info) {
        Optional<WorkerState> known = mScheduler.worker(info.id());
        boolean drains = known.map(w -> !w.info().draining()).orElse(true) && info.draining();
        mScheduler.worker(info, mParts.clock().nowMs());
        if (known.isEmpty() || drains) {
            mParts.log()
                    .line("worker")
                    .with("worker", info.id())
                    .with("service", info.service())
                    .with("rack", info.rack())
                    .with("draining", info.draining())
                    .write();
        }
        mLookers.computeIfAbsent(info.id(), id -> startLooker(mScheduler.worker(id).get()));
    }

    private Looker startLooker(WorkerState worker) {
        Looker looker = new Looker(mOwner, mParts, worker, mToken);
        mParts.timers().after(0, looker::look);
        return looker;
    }

    /** A worker's life is over, or it is dropped; it is looked at no more. */
    void over(String worker) {
        Looker looker = mLookers.remove(worker);
        if (looker != null) {
            looker.stop();
        }
    }
}
