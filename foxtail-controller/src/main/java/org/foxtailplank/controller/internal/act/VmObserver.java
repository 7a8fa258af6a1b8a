package org.foxtailplank.controller.internal.act;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.id.VmId;
import org.foxtailplank.internal.control.BackendReport;
import org.foxtailplank.internal.control.PlatformVmStatus;
import org.foxtailplank.internal.control.VmObservation;
import org.foxtailplank.platform.ActionReport;
import org.foxtailplank.platform.VmReport;

/**
 * Converts VM reports into observations, with the time since a VM is leaving or its action ended.
 *
 * <p>The durations are local: a controller that takes over measures them from zero.
 */
final class VmObserver {
    private final Map<VmId, Instant> mLeavingSince = new HashMap<>();
    private final Map<VmId, Instant> mEndedSince = new HashMap<>();

    /** Converts a report on a VM into an observation with durations. */
    synchronized VmObservation observe(
            PendingVm pending, VmReport report, Optional<BackendReport> backend, Instant now) {
        boolean ended =
                report.lastAction()
                        .filter(a -> a.progress() != ActionReport.Progress.RUNNING)
                        .isPresent();
        return new VmObservation(
                toPlatformVmStatus(report),
                report.instance().isPresent(),
                pending.willServe(),
                pending.tasks(),
                backend,
                elapsed(mLeavingSince, report.id(), report.leaving(), now),
                elapsed(mEndedSince, report.id(), ended && !report.leaving(), now));
    }

    /** Forgets all VMs that are not in the set. */
    synchronized void retainOnly(Set<VmId> vms) {
        mLeavingSince.keySet().retainAll(vms);
        mEndedSince.keySet().retainAll(vms);
    }

    private static Duration elapsed(Map<VmId, Instant> times, VmId vm, boolean holds, Instant now) {
        if (!holds) {
            times.remove(vm);
            return Duration.ZERO;
        }
        return Duration.between(times.computeIfAbsent(vm, v -> now), now);
    }

    private static PlatformVmStatus toPlatformVmStatus(VmReport report) {
        PlatformVmStatus.Power power =
                switch (report.power()) {
                    case OFF, FAILED -> PlatformVmStatus.Power.DOWN;
                    case WAKING, REBOOTING -> PlatformVmStatus.Power.CHANGING;
                    case ON, DRAINING -> PlatformVmStatus.Power.UP;
                };
        Optional<PlatformVmStatus.ReportedAction> action =
                report.lastAction()
                        .map(a -> new PlatformVmStatus.ReportedAction(a.id(), toProgress(a)));
        return new PlatformVmStatus(power, report.leaving(), report.generation(), action);
    }

    private static PlatformVmStatus.Progress toProgress(ActionReport action) {
        return switch (action.progress()) {
            case RUNNING -> PlatformVmStatus.Progress.RUNNING;
            case DONE -> PlatformVmStatus.Progress.DONE;
            case FAILED -> PlatformVmStatus.Progress.FAILED;
        };
    }
}
