package org.foxtailplank.node.owner;

import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.schedule.PoolLoad;

/** Logs the load of each service periodically, which helps to explain why tasks wait. */
final class LoadLogger {
    private static final long LOG_INTERVAL_MS = 2000;

    private final OwnerSession mOwner;
    private final OwnerContext mContext;

    LoadLogger(OwnerSession owner, OwnerContext context) {
        mOwner = owner;
        mContext = context;
    }

    /** Writes the load now and periodically until the owner's work ends. */
    void start() {
        if (mOwner.hasEnded()) {
            return;
        }
        mContext.timers().after(LOG_INTERVAL_MS, this::start);
        mContext.operator().config().ifPresent(this::write);
    }

    private void write(FleetConfig config) {
        long now = mContext.clock().nowMs();
        mOwner.scheduler().loads(config, now, mContext.clock().wallMs()).forEach(this::write);
    }

    private void write(PoolLoad load) {
        mContext.log()
                .line("load")
                .with("service", load.service())
                .with("workers", load.workers())
                .with("cores", load.cores())
                .with("standingCores", load.standingCores())
                .with("batchCores", load.batchCores())
                .with("batchCapacity", load.batchCapacity())
                .with("jobs", load.jobs())
                .with("waitingTasks", load.waitingTasks())
                .with("waitingStanding", load.waitingStanding())
                .write();
    }
}
