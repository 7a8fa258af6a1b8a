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

/** Keeps the platform's lagging list, and says from it which VMs do not serve. */
public final class FleetMonitor {
    /** The list is some seconds old, so a VM that was just woken may not be in it yet. */
    private static final Duration LIST_LAG = Duration.ofSeconds(10);

    private static final Duration POLL_INTERVAL = Duration.ofSeconds(5);

    private final InstantSource mClock;
    private final Map<VmId, Instant> mAbsentSince = new HashMap<>();
    private Instant mNextPoll = Instant.MIN;
    private Optional<Map<VmId, VmReport>> mReports = Optional.empty();

    /** A watch that has seen nothing. */
    public FleetMonitor(InstantSource clock) {
        mClock = clock;
    }

    /** Whether the list is to be asked for; true once in a while. */
    public synchronized boolean claimPoll(Instant now) {
        if (now.isBefore(mNextPoll)) {
            return false;
        }
        mNextPoll = now.plus(POLL_INTERVAL);
        return true;
    }

    /** Takes in the newest list. */
    public synchronized void update(VmList list) {
        mReports =
                Optional.of(
                        list.vms().stream()
                                .collect(
                                        Collectors.toMap(
                                                VmReport::id, r -> r, (first, second) -> second)));
    }

    /** What the list shows; empty before there was one. */
    public synchronized Optional<PlatformObservation> observe(FleetView view) {
        if (mReports.isEmpty()) {
            return Optional.empty();
        }
        Instant now = mClock.instant();
        Set<VmId> silent = new HashSet<>();
        Map<VmId, VmHealth> surprises = new HashMap<>();
        for (VmState vm : view.vms()) {
            Optional<VmHealth> health = health(vm, now);
            if (vm.phase() == VmPhase.SERVING && health.equals(Optional.of(VmHealth.DOWN))) {
                silent.add(vm.id());
            }
            boolean settled = vm.pending().isEmpty() && vm.joining().isEmpty();
            health.filter(h -> settled && h.observedIn(vm.phase()).isPresent())
                    .ifPresent(h -> surprises.put(vm.id(), h));
        }
        return Optional.of(new PlatformObservation(new Observation(silent, Map.of()), surprises));
    }

    private Optional<VmHealth> health(VmState vm, Instant now) {
        VmReport report = mReports.orElseThrow().get(vm.id());
        if (report == null) {
            Instant since = mAbsentSince.computeIfAbsent(vm.id(), id -> now);
            boolean isGone = !now.isBefore(since.plus(LIST_LAG));
            return isGone ? Optional.of(VmHealth.DOWN) : Optional.empty();
        }
        mAbsentSince.remove(vm.id());
        // The list may still show the reboot that was confirmed a moment ago; taken as a failure,
        // a few of those would pause a healthy wave. The generation tells that it is older.
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
