package org.foxtailplank.schedule;

/** What the owner does with a VM. */
public sealed interface VmAction {

    /** The VM joins another pool. */
    record Move(String pool, String why) implements VmAction {}

    /** The VM is rebooted for a wave. */
    record Reboot(long wave) implements VmAction {}
}
