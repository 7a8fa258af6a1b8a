package org.foxtailplank.internal.state;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.Author;
import org.foxtailplank.state.Configuration;
import org.foxtailplank.state.ConfigurationChange;
import org.foxtailplank.state.ConfigurationChanged;
import org.foxtailplank.state.ConfigurationPublished;
import org.foxtailplank.state.FleetShape;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.PoolShape;
import org.foxtailplank.state.PoolState;
import org.foxtailplank.state.Verdict;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmPlace;
import org.foxtailplank.state.VmState;

/** Folds the configuration and the shape that it gives to the fleet. */
public final class ConfigurationFold {
    private final VmTable mTable;
    private final Map<PoolId, PoolShape> mShapes = new HashMap<>();
    private final Map<ZoneId, PatchedText> mOverlays = new TreeMap<>();
    private PatchedText mBase = new PatchedText("");
    private Optional<Configuration> mCurrent = Optional.empty();
    private boolean mPatched;

    public ConfigurationFold(VmTable table) {
        mTable = table;
    }

    /** Offset of the last change; 0 when there was none. */
    public long version() {
        return mCurrent.map(Configuration::version).orElse(0L);
    }

    /** The configuration in force. */
    public Optional<Configuration> current() {
        if (mPatched) {
            Configuration c = mCurrent.orElseThrow();
            mCurrent = Optional.of(configuration(c.version(), c.author()));
            mPatched = false;
        }
        return mCurrent;
    }

    /** Pools as the configuration states them. */
    public Map<PoolId, PoolShape> shapes() {
        return Collections.unmodifiableMap(mShapes);
    }

    public Verdict apply(long at, ConfigurationChange change) {
        if (change instanceof ConfigurationPublished c) {
            return published(at, c);
        } else if (change instanceof ConfigurationChanged c) {
            return changed(at, c);
        }
        throw new IllegalStateException("no fold for " + change);
    }

    private Verdict published(long at, ConfigurationPublished c) {
        Optional<Verdict> wrong = removals(c.shape());
        if (wrong.isEmpty()) {
            wrong = additions(c.shape(), c.shape().pools());
        }
        if (wrong.isPresent()) {
            return wrong.get();
        }
        drop(c.shape());
        add(at, c.shape());
        restore(new Configuration(at, c.base(), c.overlays(), c.author()));
        return Verdict.APPLIED;
    }

    private Verdict changed(long at, ConfigurationChanged c) {
        if (mCurrent.isEmpty()) {
            return Verdicts.unknown(ObjectKey.configuration());
        }
        boolean readable = MergePatch.parse(c.basePatch()).isPresent();
        for (String p : c.overlayPatches().values()) {
            readable &= MergePatch.parse(p).isPresent();
        }
        if (!readable) {
            return Verdicts.malformed("a merge patch is not a JSON object");
        }
        Map<PoolId, PoolShape> pools = new HashMap<>(mShapes);
        pools.putAll(c.shapePatch().pools());
        Optional<Verdict> wrong = additions(c.shapePatch(), pools);
        if (wrong.isPresent()) {
            return wrong.get();
        }
        add(at, c.shapePatch());
        mBase.patch(c.basePatch());
        c.overlayPatches()
                .forEach(
                        (z, p) ->
                                mOverlays.computeIfAbsent(z, k -> new PatchedText("{}")).patch(p));
        Configuration old = mCurrent.get();
        mCurrent = Optional.of(new Configuration(at, old.base(), old.overlays(), c.author()));
        mPatched = true;
        return Verdict.APPLIED;
    }

    /** Takes a configuration as a whole. */
    public void restore(Configuration c) {
        mBase = new PatchedText(c.base());
        mOverlays.clear();
        c.overlays().forEach((z, t) -> mOverlays.put(z, new PatchedText(t)));
        mCurrent = Optional.of(c);
        mPatched = false;
    }

    /** Takes a pool as the configuration states it. */
    public void restore(PoolId id, PoolShape shape) {
        mShapes.put(id, shape);
    }

    private Configuration configuration(long version, Author author) {
        Map<ZoneId, String> overlays = new TreeMap<>();
        mOverlays.forEach((z, t) -> overlays.put(z, t.text()));
        return new Configuration(version, mBase.text(), Map.copyOf(overlays), author);
    }

    /** A VM or pool in use can't vanish: its stop would be neither planned nor graceful. */
    private Optional<Verdict> removals(FleetShape shape) {
        Set<PoolId> pools = shape.pools().keySet();
        for (VmState vm : mTable.vms()) {
            boolean kept = shape.vms().containsKey(vm.id());
            if (!kept && !isIdle(vm)) {
                return Optional.of(Verdicts.wrongPhase(vm, "removal by the configuration"));
            }
            if (kept
                    && !(pools.contains(vm.pool())
                            && vm.joining().map(pools::contains).orElse(true))) {
                return Optional.of(
                        Verdicts.wrongPhase(
                                "VM " + vm.id() + " is in a pool that is to be removed"));
            }
        }
        return Optional.empty();
    }

    private Optional<Verdict> additions(FleetShape shape, Map<PoolId, PoolShape> pools) {
        for (Map.Entry<VmId, VmPlace> e : shape.vms().entrySet()) {
            if (!pools.containsKey(e.getValue().pool())) {
                return Optional.of(
                        Verdicts.malformed(
                                "VM " + e.getKey() + " starts in a pool that is not there"));
            }
        }
        for (Map.Entry<PoolId, PoolShape> e : shape.pools().entrySet()) {
            PoolShape old = mShapes.get(e.getKey());
            if (old != null && !old.service().equals(e.getValue().service())) {
                Optional<Verdict> wrong = newService(e.getKey());
                if (wrong.isPresent()) {
                    return wrong;
                }
            }
        }
        return Optional.empty();
    }

    /** A pool changes its service only while none of its VMs runs the old one. */
    private Optional<Verdict> newService(PoolId pool) {
        for (VmState vm : mTable.vms()) {
            boolean concerned = vm.pool().equals(pool) || vm.joining().equals(Optional.of(pool));
            if (concerned && !isIdle(vm)) {
                return Optional.of(Verdicts.wrongPhase(vm, "new service for pool " + pool));
            }
        }
        return Optional.empty();
    }

    private static boolean isIdle(VmState vm) {
        boolean down = vm.phase() == VmPhase.OFF || vm.phase() == VmPhase.BROKEN;
        return down && vm.pending().isEmpty() && vm.joining().isEmpty();
    }

    private void drop(FleetShape shape) {
        for (VmState vm : Set.copyOf(mTable.vms())) {
            if (!shape.vms().containsKey(vm.id())) {
                mTable.remove(vm.id());
            }
        }
        for (PoolId p : Set.copyOf(mShapes.keySet())) {
            if (!shape.pools().containsKey(p)) {
                mShapes.remove(p);
                mTable.remove(p);
            }
        }
        for (ServiceId s : Set.copyOf(mTable.minAvailable().keySet())) {
            if (!shape.minAvailable().containsKey(s)) {
                mTable.dropMinAvailable(s);
            }
        }
    }

    private void add(long at, FleetShape shape) {
        shape.minAvailable().forEach(mTable::setMinAvailable);
        shape.pools().forEach((id, p) -> addPool(at, id, p));
        shape.vms()
                .forEach(
                        (id, place) -> {
                            Optional<VmState> old = mTable.vm(id);
                            if (old.isEmpty()) {
                                mTable.put(VmState.of(id, place, at));
                            } else if (!old.get().zone().equals(place.zone())
                                    || !old.get().rack().equals(place.rack())) {
                                mTable.put(old.get().standingAt(place, at));
                            }
                        });
    }

    /** What the configuration does not change keeps the target that was set through the log. */
    private void addPool(long at, PoolId id, PoolShape shape) {
        PoolShape old = mShapes.put(id, shape);
        if (!shape.equals(old)) {
            mTable.put(new PoolState(id, shape.service(), shape.target(), shape.reserve(), at));
        }
    }
}
