package org.foxtailplank.entry.internal.node;

import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.platform.FleetLog;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.VmState;

/** Knows the services of which a wave step has an instance away at the moment. */
public final class WaveWatch implements Predicate<ServiceId> {

    private final FleetLog mFleet;
    private volatile Set<ServiceId> mAway = Set.of();

    private WaveWatch(FleetLog fleet) {
        mFleet = fleet;
    }

    /** Follows the state. */
    public static WaveWatch of(FleetLog fleet) {
        WaveWatch watch = new WaveWatch(fleet);
        fleet.onChange(watch::look);
        return watch;
    }

    @Override
    public boolean test(ServiceId service) {
        return mAway.contains(service);
    }

    private void look() {
        mFleet.read(WaveWatch::away).thenAccept(away -> mAway = away);
    }

    private static Set<ServiceId> away(FleetView view) {
        return view.vms().stream()
                .filter(vm -> vm.wave().isPresent())
                .map(VmState::pool)
                .distinct()
                .flatMap(pool -> view.pool(pool).stream())
                .flatMap(pool -> pool.service().stream())
                .collect(Collectors.toUnmodifiableSet());
    }
}
