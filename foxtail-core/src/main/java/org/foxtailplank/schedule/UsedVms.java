package org.foxtailplank.schedule;

import java.util.List;
import org.foxtailplank.fleet.Resources;

/** Computes how many VMs would hold what runs on workers if it filled them. */
final class UsedVms {
    private UsedVms() {}

    /** Number of VMs of the workers' mean size, by the resource of which most is reserved. */
    static double of(List<WorkerState> workers) {
        double cores = 0;
        double memory = 0;
        double accelerators = 0;
        double allCores = 0;
        double allMemory = 0;
        double allAccelerators = 0;
        for (WorkerState w : workers) {
            Resources used = w.used();
            Resources all = w.registration().capacity();
            cores += used.milliProcessors();
            memory += used.memoryBytes();
            accelerators += used.accelerators();
            allCores += all.milliProcessors();
            allMemory += all.memoryBytes();
            allAccelerators += all.accelerators();
        }
        double share = Math.max(share(cores, allCores), share(memory, allMemory));
        return workers.size() * Math.max(share, share(accelerators, allAccelerators));
    }

    private static double share(double used, double all) {
        return all > 0 ? used / all : 0;
    }
}
