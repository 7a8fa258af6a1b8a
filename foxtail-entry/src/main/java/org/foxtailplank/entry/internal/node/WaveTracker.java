package org.foxtailplank.entry.internal.node;

import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.platform.FleetLog;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.VmState;

/** Tracks the services of which a maintenance wave has taken an instance out of use. */
public final class WaveTracker implements Predicate<ServiceId> {

    private final FleetLog mFleet;
    private volatile Set<ServiceId> mServicesInWave = Set.of();

    private WaveTracker(FleetLog fleet) {
        mFleet = fleet;
    }

    /** Returns a tracker that follows the fleet's state. */
    public static WaveTracker of(FleetLog fleet) {
        WaveTracker tracker = new WaveTracker(fleet);
        fleet.onChange(tracker::refresh);
        return tracker;
    }

    @Override
    public boolean test(ServiceId service) {
        return mServicesInWave.contains(service);
    }

    private void refresh() {
        mFleet.read(WaveTracker::servicesInWave).thenAccept(services -> mServicesInWave = services);
    }

    private static Set<ServiceId> servicesInWave(FleetView view) {
        return view.vms().stream()
                .filter(vm -> vm.wave().isPresent())
                .map(VmState::pool)
                .distinct()
                .flatMap(pool -> view.pool(pool).stream())
                .flatMap(pool -> pool.service().stream())
                .collect(Collectors.toUnmodifiableSet());
    }
}
