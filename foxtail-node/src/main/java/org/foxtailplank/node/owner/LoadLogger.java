package org.foxtailplank.node.owner;

import java.util.HashMap;
import java.util.Map;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.schedule.PoolLoad;

/** Logs the load of each service periodically, which helps to explain why tasks wait. */
final class LoadLogger {
    private static final long LOG_INTERVAL_MS = 2000;

    private static final double MS_PER_S = 1000;

    private final OwnerSession mOwner;
    private final OwnerContext mContext;
    private final Map<String, VmSeconds> mVmSeconds = new HashMap<>();

    /** VM-seconds of a service's pool since the owner began, and the fewest for what ran there. */
    private record VmSeconds(double paid, double least) {
        static final VmSeconds NONE = new VmSeconds(0, 0);

        VmSeconds plus(PoolLoad load) {
            double seconds = LOG_INTERVAL_MS / MS_PER_S;
            return new VmSeconds(paid + seconds * load.vms(), least + seconds * load.usedVms());
        }
    }

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
        VmSeconds before = mVmSeconds.getOrDefault(load.service(), VmSeconds.NONE);
        VmSeconds vms = before.plus(load);
        mVmSeconds.put(load.service(), vms);
        mContext.log()
                .line("load")
                .with("service", load.service())
                .with("workers", load.workers())
                .with("cores", load.cores())
                .with("standingCores", load.standingCores())
                .with("batchCores", load.batchCores())
                .with("plannedCores", load.plannedCores())
                .with("batchCapacity", load.batchCapacity())
                .with("evacuating", load.evacuating())
                .with("jobs", load.jobs())
                .with("waitingTasks", load.waitingTasks())
                .with("waitingStanding", load.waitingStanding())
                .with("vmSeconds", Math.round(vms.paid()))
                .with("leastVmSeconds", Math.round(vms.least()))
                .write();
    }
}
