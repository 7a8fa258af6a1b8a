package org.foxtailplank.internal.control;

import org.foxtailplank.state.VmState;

/**
 * A call to the platform for one intent.
 *
 * <p>Each generation of a VM maps to several platform generations: drain before the action, the
 * action itself, wake after a reassignment, and drain after a release. They increase with the VM's
 * generation, so that the platform rejects delayed calls of a paused controller.
 *
 * @param id id of the call; a repeated call has the same id
 * @param generation generation at the platform, used as a fencing number
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

    /** Returns whether a reported generation precedes the last intended action of a VM. */
    public static boolean isBefore(long generation, VmState vm) {
        return vm.generation() > 0 && generation < action(vm).generation();
    }

    private static PlatformCall call(VmState vm, int step, String name) {
        String id = vm.id() + "-" + vm.generation() + "-" + name;
        return new PlatformCall(id, vm.generation() * CALLS_PER_GENERATION + step);
    }
}
