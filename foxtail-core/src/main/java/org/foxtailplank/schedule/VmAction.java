package org.foxtailplank.schedule;

/** An action of the owner on a VM. */
public sealed interface VmAction {

    /** Moves the VM to another pool. */
    record Move(String pool, String why) implements VmAction {}

    /** Reboots the VM for a maintenance wave. */
    record Reboot(long wave) implements VmAction {}
}
