package org.foxtailplank.internal.control;

import org.foxtailplank.state.VmState;

/**
 * A call to the platform on behalf of one intent.
 *
 * <p>Each generation of a VM owns a few generations at the platform: to drain it before the action,
 * for the action itself, to wake it after a reassignment, and to drain it once it is released. They
 * grow with the generation of the VM, so the platform refuses a call that a paused controller makes
 * late.
 *
 * @param id id of the call; the same call again has the same id
 * @param generation generation that the platform compares
 */
public record PlatformCall(String id, long generation) {
    private static final int CALLS_PER_GENERATION = 4;

    static PlatformCall drainBeforeAction(VmState vm) {
        return call(vm, 0, "drain");
    }

    static PlatformCall action(VmState vm) {
        return call(vm, 1, "action");
    }

    static PlatformCall wakeAfterAction(VmState vm) {
        return call(vm, 2, "wake");
    }

    static PlatformCall drainForRelease(VmState vm) {
        return call(vm, 3, "release");
    }

    /** Whether a report's generation is from before the last intended action of a VM. */
    public static boolean isBefore(long generation, VmState vm) {
        return vm.generation() > 0 && generation < action(vm).generation();
    }

    private static PlatformCall call(VmState vm, int step, String name) {
        String id = vm.id() + "-" + vm.generation() + "-" + name;
        return new PlatformCall(id, vm.generation() * CALLS_PER_GENERATION + step);
    }
}
