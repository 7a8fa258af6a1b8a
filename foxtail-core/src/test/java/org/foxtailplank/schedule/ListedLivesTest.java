package org.foxtailplank.schedule;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.port.VmActions.VmInfo;
import org.foxtailplank.port.VmActions.VmPhase;
import org.testng.annotations.Test;

/** What a new owner takes from its first list of VMs about the lives that it inherits. */
public class ListedLivesTest {
    private static VmInfo vm(String id, String worker) {
        return new VmInfo(id, "surveys", VmPhase.UP, worker, Resources.NONE);
    }

    @Test
    public void aLifeThatACompleteListDoesNotNameIsOver() {
        ListedLives lives = new ListedLives(List.of(vm("vm1", "w1"), vm("vm2", "")));

        assertTrue(lives.isOver("w9"));
        assertFalse(lives.isOver("w1"));
    }

    @Test
    public void aListWithAnEntryThatCannotBeReadSaysOfNoLifeThatItIsOver() {
        // A caller sees a job done twice. The owner is replaced while the entry of a VM can't be
        // read; the new owner finds the life on it in no list, takes it for over, and starts its
        // tasks elsewhere although they run.
        ListedLives lives = new ListedLives(List.of(vm("vm1", "w1"), VmInfo.unreadable("vm2")));

        assertFalse(lives.isOver("w2"));
    }

    @Test
    public void aListWithoutVmsSaysNothing() {
        assertFalse(new ListedLives(List.of()).isOver("w1"));
    }
}
