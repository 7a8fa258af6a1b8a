package org.foxtailplank.controller.internal.act;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.foxtailplank.controller.internal.plan.PlatformObservation;
import org.foxtailplank.fleet.Observation;
import org.foxtailplank.id.VmId;
import org.foxtailplank.internal.control.PlatformCall;
import org.foxtailplank.platform.VmList;
import org.foxtailplank.platform.VmReport;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.VmHealth;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmState;

/** Caches the platform's VM list, which lags, and compares it with the state in the log. */
public final class FleetMonitor {
    /**
     * How long a VM may be missing from the list before it counts as down; the list lags by
     * seconds.
     */
    private static final Duration LIST_LAG = Duration.ofSeconds(10);

    private static final Duration POLL_INTERVAL = Duration.ofSeconds(5);

    private final InstantSource mClock;
    private final Map<VmId, Instant> mAbsentSince = new HashMap<>();
    private Instant mNextPoll = Instant.MIN;
    private Optional<Map<VmId, VmReport>> mReports = Optional.empty();

    /** Creates a monitor without a list. */
    public FleetMonitor(InstantSource clock) {
        mClock = clock;
    }

    /** Returns whether the list is due to be fetched, and if so schedules the next fetch. */
    public synchronized boolean claimPoll(Instant now) {
        if (now.isBefore(mNextPoll)) {
            return false;
        }
        mNextPoll = now.plus(POLL_INTERVAL);
        return true;
    }

    /** Replaces the cached list. */
    public synchronized void update(VmList list) {
        mReports =
                Optional.of(
                        list.vms().stream()
                                .collect(
                                        Collectors.toMap(
                                                VmReport::id, r -> r, (first, second) -> second)));
    }

    /** Compares the cached list with the state; empty before the first list. */
    public synchronized Optional<PlatformObservation> observe(FleetView view) {
        if (mReports.isEmpty()) {
            return Optional.empty();
        }
        Instant now = mClock.instant();
        Set<VmId> notServing = new HashSet<>();
        Map<VmId, VmHealth> discrepancies = new HashMap<>();
        for (VmState vm : view.vms()) {
            Optional<VmHealth> health = health(vm, now);
            if (vm.phase() == VmPhase.SERVING && health.equals(Optional.of(VmHealth.DOWN))) {
                notServing.add(vm.id());
            }
            boolean settled = vm.pending().isEmpty() && vm.joining().isEmpty();
            health.filter(h -> settled && h.observedPhase(vm.phase()).isPresent())
                    .ifPresent(h -> discrepancies.put(vm.id(), h));
        }
        return Optional.of(
                new PlatformObservation(new Observation(notServing, Map.of()), discrepancies));
    }

    private Optional<VmHealth> health(VmState vm, Instant now) {
        VmReport report = mReports.orElseThrow().get(vm.id());
        if (report == null) {
            Instant since = mAbsentSince.computeIfAbsent(vm.id(), id -> now);
            boolean isGone = !now.isBefore(since.plus(LIST_LAG));
            return isGone ? Optional.of(VmHealth.DOWN) : Optional.empty();
        }
        mAbsentSince.remove(vm.id());
        // A stale list may still show a reboot that is already confirmed; counted as failures, such
        // reports would pause a healthy wave. The generation shows that a report is older.
        if (PlatformCall.isBefore(report.generation(), vm)) {
            return Optional.empty();
        }
        return switch (report.power()) {
            case FAILED, OFF -> Optional.of(VmHealth.DOWN);
            case ON -> report.leaving() ? Optional.empty() : Optional.of(VmHealth.UP);
            case WAKING, DRAINING, REBOOTING -> Optional.empty();
        };
    }
}
