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
import org.foxtailplank.state.ChangeAuthor;
import org.foxtailplank.state.Configuration;
import org.foxtailplank.state.ConfigurationChange;
import org.foxtailplank.state.ConfigurationChanged;
import org.foxtailplank.state.ConfigurationPublished;
import org.foxtailplank.state.FleetTopology;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.PoolDefinition;
import org.foxtailplank.state.PoolState;
import org.foxtailplank.state.Verdict;
import org.foxtailplank.state.VmLocation;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmState;

/** Folds configuration changes into the configuration in force, the VMs and the pools. */
public final class ConfigurationFold {
    private final FleetIndex mIndex;
    private final Map<PoolId, PoolDefinition> mPoolDefinitions = new HashMap<>();
    private final Map<ZoneId, PatchedText> mOverlays = new TreeMap<>();
    private PatchedText mBase = new PatchedText("");
    private Optional<Configuration> mCurrent = Optional.empty();
    private boolean mPatched;

    public ConfigurationFold(FleetIndex index) {
        mIndex = index;
    }

    /** Returns the offset of the last change; 0 before the first one. */
    public long version() {
        return mCurrent.map(Configuration::version).orElse(0L);
    }

    /** Returns the configuration in force. */
    public Optional<Configuration> current() {
        if (mPatched) {
            Configuration c = mCurrent.orElseThrow();
            mCurrent = Optional.of(configuration(c.version(), c.author()));
            mPatched = false;
        }
        return mCurrent;
    }

    /** Returns the pools as configured. */
    public Map<PoolId, PoolDefinition> poolDefinitions() {
        return Collections.unmodifiableMap(mPoolDefinitions);
    }

    public Verdict apply(long offset, ConfigurationChange change) {
        if (change instanceof ConfigurationPublished c) {
            return applyPublished(offset, c);
        } else if (change instanceof ConfigurationChanged c) {
            return applyChanged(offset, c);
        }
        throw new IllegalStateException("unsupported change: " + change);
    }

    private Verdict applyPublished(long offset, ConfigurationPublished c) {
        Optional<Verdict> wrong = checkRemovals(c.topology());
        if (wrong.isEmpty()) {
            wrong = checkAdditions(c.topology(), c.topology().pools());
        }
        if (wrong.isPresent()) {
            return wrong.get();
        }
        removeMissing(c.topology());
        add(offset, c.topology());
        restore(new Configuration(offset, c.base(), c.overlays(), c.author()));
        return Verdict.APPLIED;
    }

    private Verdict applyChanged(long offset, ConfigurationChanged c) {
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
        Map<PoolId, PoolDefinition> pools = new HashMap<>(mPoolDefinitions);
        pools.putAll(c.topologyPatch().pools());
        Optional<Verdict> wrong = checkAdditions(c.topologyPatch(), pools);
        if (wrong.isPresent()) {
            return wrong.get();
        }
        add(offset, c.topologyPatch());
        mBase.patch(c.basePatch());
        c.overlayPatches()
                .forEach(
                        (z, p) ->
                                mOverlays.computeIfAbsent(z, k -> new PatchedText("{}")).patch(p));
        Configuration old = mCurrent.get();
        mCurrent = Optional.of(new Configuration(offset, old.base(), old.overlays(), c.author()));
        mPatched = true;
        return Verdict.APPLIED;
    }

    /** Replaces the configuration text, without changing VMs or pools. */
    public void restore(Configuration c) {
        mBase = new PatchedText(c.base());
        mOverlays.clear();
        c.overlays().forEach((z, t) -> mOverlays.put(z, new PatchedText(t)));
        mCurrent = Optional.of(c);
        mPatched = false;
    }

    /** Restores the configured definition of a pool. */
    public void restore(PoolId id, PoolDefinition definition) {
        mPoolDefinitions.put(id, definition);
    }

    private Configuration configuration(long version, ChangeAuthor author) {
        Map<ZoneId, String> overlays = new TreeMap<>();
        mOverlays.forEach((z, t) -> overlays.put(z, t.text()));
        return new Configuration(version, mBase.text(), Map.copyOf(overlays), author);
    }

    /** Rejects the removal of a VM or pool in use: its VMs would stop without a drain. */
    private Optional<Verdict> checkRemovals(FleetTopology topology) {
        Set<PoolId> pools = topology.pools().keySet();
        for (VmState vm : mIndex.vms()) {
            boolean kept = topology.vms().containsKey(vm.id());
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

    private Optional<Verdict> checkAdditions(
            FleetTopology topology, Map<PoolId, PoolDefinition> pools) {
        for (Map.Entry<VmId, VmLocation> e : topology.vms().entrySet()) {
            if (!pools.containsKey(e.getValue().pool())) {
                return Optional.of(
                        Verdicts.malformed(
                                "VM " + e.getKey() + " names an initial pool that does not exist"));
            }
        }
        for (Map.Entry<PoolId, PoolDefinition> e : topology.pools().entrySet()) {
            PoolDefinition old = mPoolDefinitions.get(e.getKey());
            if (old != null && !old.service().equals(e.getValue().service())) {
                Optional<Verdict> wrong = checkServiceChange(e.getKey());
                if (wrong.isPresent()) {
                    return wrong;
                }
            }
        }
        return Optional.empty();
    }

    /** Rejects a new service for a pool while one of its VMs runs the old one. */
    private Optional<Verdict> checkServiceChange(PoolId pool) {
        for (VmState vm : mIndex.vms()) {
            boolean affected = vm.pool().equals(pool) || vm.joining().equals(Optional.of(pool));
            if (affected && !isIdle(vm)) {
                return Optional.of(Verdicts.wrongPhase(vm, "new service for pool " + pool));
            }
        }
        return Optional.empty();
    }

    private static boolean isIdle(VmState vm) {
        boolean down = vm.phase() == VmPhase.OFF || vm.phase() == VmPhase.BROKEN;
        return down && vm.pending().isEmpty() && vm.joining().isEmpty();
    }

    private void removeMissing(FleetTopology topology) {
        for (VmState vm : Set.copyOf(mIndex.vms())) {
            if (!topology.vms().containsKey(vm.id())) {
                mIndex.remove(vm.id());
            }
        }
        for (PoolId p : Set.copyOf(mPoolDefinitions.keySet())) {
            if (!topology.pools().containsKey(p)) {
                mPoolDefinitions.remove(p);
                mIndex.remove(p);
            }
        }
        for (ServiceId s : Set.copyOf(mIndex.minAvailable().keySet())) {
            if (!topology.minAvailable().containsKey(s)) {
                mIndex.dropMinAvailable(s);
            }
        }
    }

    private void add(long offset, FleetTopology topology) {
        topology.minAvailable().forEach(mIndex::setMinAvailable);
        topology.pools().forEach((id, p) -> addPool(offset, id, p));
        topology.vms()
                .forEach(
                        (id, location) -> {
                            Optional<VmState> old = mIndex.vm(id);
                            if (old.isEmpty()) {
                                mIndex.put(VmState.of(id, location, offset));
                            } else if (!old.get().zone().equals(location.zone())
                                    || !old.get().rack().equals(location.rack())) {
                                mIndex.put(old.get().withLocation(location, offset));
                            }
                        });
    }

    /** Keeps the target that was set through the log unless the configured pool changes. */
    private void addPool(long offset, PoolId id, PoolDefinition definition) {
        PoolDefinition old = mPoolDefinitions.put(id, definition);
        if (!definition.equals(old)) {
            mIndex.put(
                    new PoolState(
                            id,
                            definition.service(),
                            definition.target(),
                            definition.reserve(),
                            offset));
        }
    }
}
