package org.foxtailplank.load.internal.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.settings.FleetSettings;
import org.foxtailplank.state.ActionOutcome;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.VmAction;
import org.foxtailplank.state.VmActionConfirmed;
import org.foxtailplank.state.VmActionIntended;
import org.foxtailplank.state.VmHealth;
import org.foxtailplank.state.VmObserved;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmState;

/** How long actions on VMs take and which VMs are dead; nothing else of a platform. */
final class FakePlatform {

    private static final int SLOW_FACTOR = 5;

    private record Running(long endsMs, VmId vm, long generation, boolean fails) {}

    private final FleetSettings mSettings;
    private final Random mRandom;
    private final PriorityQueue<Running> mRunning =
            new PriorityQueue<>(Comparator.comparingLong(Running::endsMs));
    private final Map<VmId, Long> mDeadUntil = new HashMap<>();
    private final List<VmId> mRecovered = new ArrayList<>();

    FakePlatform(FleetSettings settings, long seed) {
        mSettings = settings;
        mRandom = new Random(seed);
    }

    /** Takes an action that was intended. */
    void take(VmActionIntended intent, long nowMs) {
        long time =
                switch (intent.action()) {
                    case WAKE -> mSettings.wakeTime().toMillis();
                    case REBOOT ->
                            mSettings.rebootTime().toMillis()
                                    + mSettings.drainTimeout().toMillis() / 2;
                    case SLEEP, REASSIGN -> mSettings.drainTimeout().toMillis() / 2;
                };
        long jittered = (long) (time * (0.9 + 0.2 * mRandom.nextDouble()));
        long slow = FaultTimes.isPlatformSlow(nowMs) ? SLOW_FACTOR * jittered : jittered;
        boolean fails =
                intent.action() == VmAction.REBOOT
                        && mRandom.nextDouble() < FaultTimes.FAILED_REBOOTS;
        mRunning.add(new Running(nowMs + slow, intent.vm(), intent.generation(), fails));
        if (fails) {
            mDeadUntil.put(intent.vm(), nowMs + slow + FaultTimes.REPAIR_MS);
        }
    }

    /** VMs fail by themselves, and come back after their repair. */
    void age(FleetView view, long nowMs, long stepMs) {
        double chance = FaultTimes.FAILURES_A_DAY * stepMs / FaultTimes.DAY_MS;
        int vms = view.vms().size();
        double expected = chance * vms;
        int failures = (int) expected + (mRandom.nextDouble() < expected % 1 ? 1 : 0);
        if (failures > 0) {
            List<VmState> all = new ArrayList<>(view.vms());
            all.sort(Comparator.comparing(VmState::id));
            for (int i = 0; i < failures; i++) {
                VmState vm = all.get(mRandom.nextInt(vms));
                if (vm.phase() == VmPhase.SERVING) {
                    mDeadUntil.putIfAbsent(vm.id(), nowMs + FaultTimes.REPAIR_MS);
                }
            }
        }
        mDeadUntil
                .entrySet()
                .removeIf(
                        e -> {
                            boolean back = e.getValue() <= nowMs;
                            if (back) {
                                mRecovered.add(e.getKey());
                            }
                            return back;
                        });
    }

    void loseRack(FleetView view, RackId rack, long nowMs) {
        view.vms().stream()
                .filter(v -> v.rack().equals(rack) && v.phase() != VmPhase.OFF)
                .forEach(v -> mDeadUntil.put(v.id(), nowMs + FaultTimes.RACK_AWAY_MS));
    }

    Set<VmId> dead() {
        return new HashSet<>(mDeadUntil.keySet());
    }

    boolean isDead(VmId vm) {
        return mDeadUntil.containsKey(vm);
    }

    /** What controllers would record now: ended actions, dead VMs and recovered ones. */
    List<Change> news(FleetView view, long nowMs) {
        List<Change> news = new ArrayList<>();
        while (!mRunning.isEmpty() && mRunning.peek().endsMs() <= nowMs) {
            Running r = mRunning.poll();
            boolean failed = r.fails() || isDead(r.vm());
            ActionOutcome outcome = failed ? ActionOutcome.FAILED : ActionOutcome.DONE;
            news.add(new VmActionConfirmed(r.vm(), r.generation(), outcome));
        }
        for (VmId vm : new TreeSet<>(mDeadUntil.keySet())) {
            observed(view, vm, VmPhase.SERVING, VmHealth.DOWN).ifPresent(news::add);
        }
        for (VmId vm : new TreeSet<>(mRecovered)) {
            observed(view, vm, VmPhase.BROKEN, VmHealth.UP).ifPresent(news::add);
        }
        mRecovered.clear();
        return news;
    }

    private static Optional<Change> observed(
            FleetView view, VmId id, VmPhase phase, VmHealth health) {
        return view.vm(id)
                .filter(v -> v.phase() == phase && v.pending().isEmpty())
                .map(v -> new VmObserved(id, v.generation(), health, Changes.AUTHOR));
    }
}
