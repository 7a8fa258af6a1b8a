package org.foxtailplank.internal.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.settings.PoolSettings;

/** Checks that a VM stands in exactly one pool and that a pool has the VMs it wants powered on. */
final class PoolCheck {
    private PoolCheck() {}

    static void check(
            Set<VmId> all,
            Map<PoolId, PoolSettings> pools,
            Section root,
            Map<String, Section> sections,
            Problems problems) {
        Map<VmId, PoolId> holders = new HashMap<>();
        pools.forEach(
                (id, pool) -> {
                    Section section = sections.get(id.value());
                    sharedWith(holders, id, pool)
                            .forEach(
                                    (other, vms) ->
                                            problems.vmsInTwoPools(
                                                    section.place("vms"),
                                                    section.path("vms"),
                                                    vms,
                                                    other.value()));
                    int wanted = pool.target() + pool.reserve();
                    if (wanted > pool.vms().size()) {
                        problems.tooManyForPool(
                                section.place("target"),
                                section.path("target"),
                                wanted,
                                pool.vms().size());
                    }
                });
        List<String> free =
                all.stream()
                        .filter(v -> !holders.containsKey(v))
                        .map(VmId::value)
                        .sorted()
                        .toList();
        if (!free.isEmpty()) {
            problems.vmsInNoPool(root.place("pools"), free);
        }
    }

    private static Map<PoolId, List<String>> sharedWith(
            Map<VmId, PoolId> holders, PoolId id, PoolSettings pool) {
        Map<PoolId, List<String>> shared = new LinkedHashMap<>();
        for (VmId vm : pool.vms().stream().sorted().toList()) {
            PoolId other = holders.putIfAbsent(vm, id);
            if (other != null) {
                shared.computeIfAbsent(other, o -> new ArrayList<>()).add(vm.value());
            }
        }
        return shared;
    }
}
