package org.foxtailplank.platform;

import java.util.List;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;

/**
 * A worker with its tasks.
 *
 * @param id the VM
 * @param zone availability zone it stands in
 * @param tasks tasks it has or had of late
 * @param usage measured use; lags
 */
public record WorkerReport(VmId id, ZoneId zone, List<TaskReport> tasks, Usage usage) {

    public WorkerReport {
        tasks = List.copyOf(tasks);
    }

    /**
     * Measured use of a worker.
     *
     * @param processors busy processor cores
     * @param memoryBytes memory in use
     */
    public record Usage(double processors, long memoryBytes) {}
}
