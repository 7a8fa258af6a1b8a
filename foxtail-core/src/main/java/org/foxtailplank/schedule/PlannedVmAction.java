package org.foxtailplank.schedule;

/** An action of the owner on a VM. */
public sealed interface PlannedVmAction {

    /** Moves the VM to another pool. */
    record Move(String pool, String why) implements PlannedVmAction {}

    /** Reboots the VM for a maintenance wave. */
    record Reboot(long wave) implements PlannedVmAction {}
}
