package org.foxtailplank.schedule;

import org.foxtailplank.port.VmClient.VmInfo;
import org.foxtailplank.port.VmClient.VmPhase;

/** An action of the owner on a VM. */
public sealed interface PlannedVmAction {

    /** Moves the VM to another pool. */
    record Move(String pool, String why) implements PlannedVmAction {
        @Override
        public boolean isShownBy(VmInfo listed) {
            return listed.pool().equals(pool);
        }
    }

    /** Reboots the VM for a maintenance wave. */
    record Reboot(long wave) implements PlannedVmAction {
        @Override
        public boolean isShownBy(VmInfo listed) {
            return listed.phase() == VmPhase.REBOOTING;
        }
    }

    /** Whether an entry of a list that was requested after the call shows that it was executed. */
    boolean isShownBy(VmInfo listed);
}
