package org.foxtailplank.node.owner;

import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.schedule.PoolLoad;

/** Writes a line a service every two seconds: with the decisions it explains why tasks wait. */
final class LoadLog {
    /** How often the load of services is logged, in milliseconds. */
    private static final long LOAD_MS = 2000;

    private final OwnerWork mOwner;
    private final OwnerParts mParts;

    LoadLog(OwnerWork owner, OwnerParts parts) {
        mOwner = owner;
        mParts = parts;
    }

    /** Begins; goes on while the owner works. */
    void start() {
        if (mOwner.isOver()) {
            return;
        }
        mParts.timers().after(LOAD_MS, this::start);
        mParts.operator().config().ifPresent(this::write);
    }

    private void write(FleetConfig config) {
        long now = mParts.clock().nowMs();
        mOwner.scheduler().loads(config, now, mParts.clock().wallMs()).forEach(this::write);
    }

    private void write(PoolLoad load) {
        mParts.log()
                .line("load")
                .with("service", load.service())
                .with("workers", load.workers())
                .with("cores", load.cores())
                .with("standingCores", load.standingCores())
                .with("batchCores", load.batchCores())
                .with("jobs", load.jobs())
                .with("waitingTasks", load.waitingTasks())
                .with("waitingStanding", load.waitingStanding())
                .write();
    }
}
