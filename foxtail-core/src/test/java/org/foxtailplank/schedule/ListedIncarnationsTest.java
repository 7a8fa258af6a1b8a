package org.foxtailplank.schedule;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.port.VmClient.VmInfo;
import org.foxtailplank.port.VmClient.VmPhase;
import org.testng.annotations.Test;

/** Tests which incarnations a list of VMs proves to have ended. */
public class ListedIncarnationsTest {
    private static VmInfo vm(String id, String worker) {
        return new VmInfo(id, "surveys", VmPhase.UP, worker, Resources.NONE);
    }

    @Test
    public void anIncarnationMissingFromACompleteListHasEnded() {
        ListedIncarnations listed = new ListedIncarnations(List.of(vm("vm1", "w1"), vm("vm2", "")));

        assertTrue(listed.hasEnded("w9"));
        assertFalse(listed.hasEnded("w1"));
    }

    @Test
    public void aListWithAnUnreadableEntryEndsNoIncarnation() {
        // Guards against tasks that run twice because the entry of their VM is unreadable when a
        // new owner takes over.
        ListedIncarnations listed =
                new ListedIncarnations(List.of(vm("vm1", "w1"), VmInfo.unreadable("vm2")));

        assertFalse(listed.hasEnded("w2"));
    }

    @Test
    public void anEmptyListEndsNoIncarnation() {
        assertFalse(new ListedIncarnations(List.of()).hasEnded("w1"));
    }
}
