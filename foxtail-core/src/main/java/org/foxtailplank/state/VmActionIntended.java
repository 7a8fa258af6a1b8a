package org.foxtailplank.state;

import java.util.Optional;
import java.util.Set;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.WaveId;

/**
 * An action on a VM is about to be requested from the platform; budgets count it from this record
 * on.
 *
 * @param vm the VM
 * @param action the action
 * @param generation the VM's generation plus one; the platform call and the confirmation carry the
 *     same number
 * @param wave wave that it is a step of
 * @param author who intends it, and why
 */
public record VmActionIntended(
        VmId vm, VmAction action, long generation, Optional<WaveId> wave, ChangeAuthor author)
        implements VmChange {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.of(vm));
    }

    @Override
    public Set<ObjectKey> reads() {
        return wave.map(w -> Set.of(ObjectKey.of(w))).orElse(Set.of());
    }
}
