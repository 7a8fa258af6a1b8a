package org.foxtailplank.state;

import static org.foxtailplank.state.FoldDriver.AUTHOR;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.testng.annotations.Test;

/**
 * Guards against state divergence when a newer node writes a kind of change that is unknown here.
 */
public class UnknownChangeTest {
    private static final ObjectKey VM = ObjectKey.of(VmId.of("claims1"));

    @Test
    public void freezesWhatANewerKindTouches() {
        FoldDriver d = FoldDriver.serving(6, 2);
        VmActionIntended reboot = d.intent("claims1", VmAction.REBOOT);
        d.writeRefused(VoidReason.NOT_UNDERSTOOD, new UnknownChange(Set.of(VM)));
        assertTrue(d.state().isFrozen(VM));
        d.writeRefused(VoidReason.NOT_UNDERSTOOD, reboot);
    }

    @Test
    public void freezesWhatDependsOnAFrozenBudget() {
        FoldDriver d = FoldDriver.serving(6, 2);
        d.writeRefused(VoidReason.NOT_UNDERSTOOD, new UnknownChange(Set.of(VM)));
        d.writeRefused(VoidReason.NOT_UNDERSTOOD, d.intent("claims2", VmAction.REBOOT));
        assertTrue(d.state().isFrozen(ObjectKey.of(VmId.of("claims2"))));
        d.writeApplied(d.intent("photos1", VmAction.REBOOT));
    }

    @Test
    public void appliesChangesOfOtherObjects() {
        FoldDriver d = FoldDriver.serving(6, 2);
        d.writeRefused(VoidReason.NOT_UNDERSTOOD, new UnknownChange(Set.of(VM)));
        d.writeApplied(new PoolTargetChanged(PoolId.of("photos"), 3, 0, AUTHOR));
        d.writeApplied(new EpochTaken(ZoneId.of("sofia-1"), 0, NodeId.of("entry-1")));
    }

    @Test
    public void doesNotFreezeForADuplicateOrAStaleRecord() {
        FoldDriver d = FoldDriver.serving(6, 2);
        LogRecord first = d.record(d.intent("photos1", VmAction.REBOOT));
        d.write(first);
        LogRecord again =
                new LogRecord(
                        first.id(),
                        first.writer(),
                        first.epoch(),
                        first.expects(),
                        new UnknownChange(Set.of(VM)),
                        first.basis());
        FoldDriver.assertRefused(VoidReason.DUPLICATE_ID, d.write(again));
        assertFalse(d.state().isFrozen(VM));
    }
}
