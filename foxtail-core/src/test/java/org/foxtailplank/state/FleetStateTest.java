package org.foxtailplank.state;

import static org.foxtailplank.state.FoldDriver.AUTHOR;
import static org.foxtailplank.state.FoldDriver.NODE;
import static org.foxtailplank.state.FoldDriver.ZONE;
import static org.foxtailplank.state.FoldDriver.assertRefused;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.request.RequestClass;
import org.testng.annotations.Test;

/** Tests folding of moves, actions, waves, jobs and epochs. */
public class FleetStateTest {
    private static final WaveId WAVE = WaveId.of("december");
    private static final JobId JOB = JobId.of("night-run");

    @Test
    public void keepsAVmInItsPoolUntilItJoinsTheOther() {
        FoldDriver d = FoldDriver.serving(4, 2);
        d.writeRefused(VoidReason.WRONG_PHASE, d.join("claims1", "photos"));
        d.writeApplied(d.release("claims1", "claims", "photos"));
        assertEquals(d.vm("claims1").pool(), PoolId.of("claims"));
        d.writeRefused(VoidReason.WRONG_PHASE, d.join("claims1", "claims"));
        d.writeRefused(VoidReason.WRONG_PHASE, d.intent("claims1", VmAction.REASSIGN));
        d.writeApplied(d.join("claims1", "photos"));
        assertEquals(d.vm("claims1").pool(), PoolId.of("photos"));
        assertEquals(d.vm("claims1").poolGeneration(), 2);
        d.writeRefused(VoidReason.WRONG_PHASE, d.join("claims1", "photos"));
        assertEquals(d.state().vmsOf(PoolId.of("claims")).size(), 3);
        assertEquals(d.state().vmsOf(PoolId.of("photos")).size(), 5);
    }

    @Test
    public void countsAMovedVmOnlyOnceItsNewServiceRuns() {
        FoldDriver d = FoldDriver.serving(4, 2);
        d.writeApplied(d.release("claims1", "claims", "photos"));
        d.writeApplied(d.join("claims1", "photos"));
        d.writeApplied(d.intent("photos1", VmAction.SLEEP));
        d.writeRefused(VoidReason.OVER_BUDGET, d.intent("photos2", VmAction.SLEEP));
        d.writeApplied(d.intent("claims1", VmAction.REASSIGN));
        d.writeRefused(VoidReason.OVER_BUDGET, d.intent("photos2", VmAction.SLEEP));
        d.writeApplied(d.outcome("claims1", ActionOutcome.DONE));
        assertEquals(d.vm("claims1").phase(), VmPhase.SERVING);
        d.writeApplied(d.intent("photos2", VmAction.SLEEP));
    }

    /**
     * Guards against counting a VM as serving after its move was cancelled while it was being
     * drained.
     */
    @Test
    public void restartsTheServiceWhenAMoveIsCancelled() {
        FoldDriver d = FoldDriver.serving(4, 2);
        d.writeApplied(d.release("claims1", "claims", "photos"));
        d.writeApplied(d.release("claims1", "claims", "claims"));
        d.writeRefused(VoidReason.OVER_BUDGET, d.intent("claims2", VmAction.SLEEP));
        d.writeRefused(VoidReason.WRONG_PHASE, d.join("claims1", "photos"));
        d.writeApplied(d.join("claims1", "claims"));
        d.writeApplied(d.intent("claims1", VmAction.REASSIGN));
        d.writeApplied(d.outcome("claims1", ActionOutcome.DONE));
        d.writeApplied(d.intent("claims2", VmAction.SLEEP));
    }

    /** Guards against two controllers that each intend a stop and together exceed the budget. */
    @Test
    public void voidsStopsThatExceedTheBudgetAfterARackLoss() {
        FoldDriver d = FoldDriver.serving(4, 2);
        VmActionIntended first = d.intent("claims1", VmAction.REBOOT);
        VmActionIntended second = d.intent("claims2", VmAction.SLEEP);
        d.writeApplied(first);
        d.writeRefused(VoidReason.OVER_BUDGET, second);
        d.writeRefused(VoidReason.OVER_BUDGET, d.release("claims2", "claims", "photos"));
        d.writeApplied(d.intent("photos1", VmAction.REBOOT));
        d.writeApplied(d.outcome("claims1", ActionOutcome.DONE));
        d.writeApplied(second);
    }

    @Test
    public void countsAStopUntilItsOutcomeIsConfirmed() {
        FoldDriver d = FoldDriver.serving(4, 2);
        d.writeApplied(d.intent("claims1", VmAction.SLEEP));
        d.writeApplied(d.outcome("claims1", ActionOutcome.FAILED));
        d.writeRefused(VoidReason.OVER_BUDGET, d.intent("claims2", VmAction.SLEEP));
        d.writeApplied(d.intent("claims1", VmAction.WAKE));
        d.writeRefused(VoidReason.OVER_BUDGET, d.intent("claims2", VmAction.SLEEP));
        d.writeApplied(d.outcome("claims1", ActionOutcome.DONE));
        d.writeApplied(d.intent("claims2", VmAction.SLEEP));
        d.writeApplied(d.outcome("claims2", ActionOutcome.WITHDRAWN));
        d.writeApplied(d.intent("claims3", VmAction.SLEEP));
    }

    @Test
    public void countsAnUnplannedFailure() {
        FoldDriver d = FoldDriver.serving(4, 2);
        VmState vm = d.vm("claims1");
        d.writeApplied(new VmObserved(vm.id(), vm.generation(), VmHealth.DOWN, AUTHOR));
        d.writeRefused(VoidReason.OVER_BUDGET, d.intent("claims2", VmAction.REBOOT));
        d.writeApplied(new VmObserved(vm.id(), vm.generation(), VmHealth.UP, AUTHOR));
        d.writeApplied(d.intent("claims2", VmAction.REBOOT));
    }

    @Test
    public void refusesAnActionForAnOlderGeneration() {
        FoldDriver d = FoldDriver.serving(6, 2);
        VmActionIntended late = d.intent("claims1", VmAction.REBOOT);
        d.writeApplied(late);
        VmActionConfirmed done = d.outcome("claims1", ActionOutcome.DONE);
        d.writeApplied(done);
        d.writeRefused(VoidReason.STALE_VERSION, late);
        d.writeApplied(d.intent("claims1", VmAction.SLEEP));
        d.writeRefused(VoidReason.STALE_VERSION, done);
    }

    @Test
    public void refusesASecondActionWhileOneIsPending() {
        FoldDriver d = FoldDriver.serving(6, 2);
        VmState vm = d.vm("claims1");
        d.writeApplied(new VmObserved(vm.id(), vm.generation(), VmHealth.DOWN, AUTHOR));
        d.writeApplied(d.intent("claims1", VmAction.WAKE));
        d.writeRefused(VoidReason.WRONG_PHASE, d.intent("claims1", VmAction.REBOOT));
        d.writeRefused(
                VoidReason.WRONG_PHASE,
                new VmObserved(vm.id(), vm.generation() + 1, VmHealth.UP, AUTHOR));
    }

    @Test
    public void startsNoStepOfAPausedWave() {
        FoldDriver d = FoldDriver.serving(6, 2);
        d.writeApplied(new WaveStarted(WAVE, Set.of(ZONE), Set.of(PoolId.of("claims")), AUTHOR));
        d.writeApplied(new WaveControlled(WAVE, WaveOrder.PAUSE, AUTHOR));
        d.writeRefused(VoidReason.WRONG_PHASE, step(d, "claims1"));
        d.writeApplied(new WaveControlled(WAVE, WaveOrder.RESUME, AUTHOR));
        d.writeApplied(step(d, "claims1"));
        d.writeRefused(VoidReason.MALFORMED, step(d, "photos1"));
        d.writeApplied(d.outcome("claims1", ActionOutcome.DONE));
        assertTrue(d.vm("claims1").lastMaintained() > 0);
        d.writeApplied(new WaveFinished(WAVE, ZONE));
        assertEquals(d.state().wave(WAVE).orElseThrow().phase(), WavePhase.FINISHED);
        d.writeRefused(VoidReason.WRONG_PHASE, new WaveControlled(WAVE, WaveOrder.CANCEL, AUTHOR));
    }

    /** Guards against a paused controller that resumes after another one took its shard. */
    @Test
    public void voidsTheRecordsOfAControllerWhoseShardWasTaken() {
        FoldDriver d = FoldDriver.serving(6, 2);
        NodeId other = NodeId.of("entry-2");
        d.writeApplied(new EpochTaken(ZONE, 0, NODE));
        LogRecord late = under(1, NODE, d.record(d.intent("claims1", VmAction.REBOOT)));
        d.writeApplied(new EpochTaken(ZONE, 1, other));
        d.writeRefused(VoidReason.STALE_EPOCH, new EpochTaken(ZONE, 1, NODE));
        assertRefused(VoidReason.STALE_EPOCH, d.write(late));
        LogRecord forged = under(2, NODE, d.record(d.intent("claims1", VmAction.REBOOT)));
        assertRefused(VoidReason.STALE_EPOCH, d.write(forged));
        LogRecord now = under(2, other, d.record(d.intent("claims1", VmAction.REBOOT)));
        assertTrue(d.write(now).isApplied());
        assertEquals(d.state().epoch(ZONE).holder(), Optional.of(other));
    }

    @Test
    public void voidsADuplicateAlsoWhenItsFirstCopyWasVoid() {
        FoldDriver d = FoldDriver.serving(4, 2);
        TeamQuotaChanged change = new TeamQuotaChanged(TeamId.of("desk"), 0.5, AUTHOR);
        LogRecord conflict = d.record(change, Map.of(ObjectKey.of(TeamId.of("desk")), 7L));
        assertRefused(VoidReason.STALE_VERSION, d.write(conflict));
        assertRefused(VoidReason.DUPLICATE_ID, d.write(conflict));
        LogRecord good = d.record(change);
        assertTrue(d.write(good).isApplied());
        assertRefused(VoidReason.DUPLICATE_ID, d.write(good));
    }

    /** Guards against records that are based on a log which lost its newest records. */
    @Test
    public void voidsARecordFromAnotherHistory() {
        FoldDriver d = FoldDriver.serving(4, 2);
        FoldDriver other = FoldDriver.serving(4, 2);
        TeamQuotaChanged quota = new TeamQuotaChanged(TeamId.of("desk"), 0.5, AUTHOR);
        d.writeApplied(quota);
        LogRecord longer = d.record(d.intent("claims1", VmAction.REBOOT));
        assertRefused(VoidReason.OTHER_HISTORY, other.write(longer));
        other.write(other.record(quota));
        LogRecord strange = other.record(other.intent("claims1", VmAction.REBOOT));
        assertRefused(VoidReason.OTHER_HISTORY, d.write(strange));
    }

    @Test
    public void refusesAGapInOffsets() {
        FoldDriver d = FoldDriver.serving(4, 2);
        LogRecord r = d.record(d.intent("claims1", VmAction.REBOOT));
        long next = d.state().nextOffset();
        assertThrows(IllegalStateException.class, () -> d.state().apply(next + 1, r));
    }

    @Test
    public void runsATaskOnOneWorkerAtATime() {
        FoldDriver d = FoldDriver.serving(4, 2);
        PoolId pool = PoolId.of("claims");
        JobSpec spec = new JobSpec(TeamId.of("desk"), pool, RequestClass.BATCH, 4, 1 << 20, 0, 1);
        d.writeApplied(new JobSubmitted(JOB, spec, AUTHOR));
        VmId a = VmId.of("claims1");
        VmId b = VmId.of("claims2");
        d.writeApplied(new TaskIntended(JOB, 0, a, TaskAction.START, 1));
        d.writeRefused(VoidReason.WRONG_PHASE, new TaskIntended(JOB, 0, b, TaskAction.START, 2));
        d.writeApplied(new TaskConfirmed(JOB, 0, a, 1, TaskOutcome.LOST));
        d.writeApplied(new TaskIntended(JOB, 0, b, TaskAction.START, 2));
        d.writeRefused(
                VoidReason.STALE_VERSION, new TaskConfirmed(JOB, 0, a, 1, TaskOutcome.RUNNING));
        d.writeApplied(new JobCancelled(JOB, AUTHOR));
        d.writeRefused(VoidReason.WRONG_PHASE, new JobCancelled(JOB, AUTHOR));
        d.writeApplied(new TaskIntended(JOB, 0, b, TaskAction.STOP, 2));
        d.writeApplied(new TaskConfirmed(JOB, 0, b, 2, TaskOutcome.STOPPED));
        d.writeRefused(VoidReason.WRONG_PHASE, new TaskIntended(JOB, 0, b, TaskAction.START, 3));
    }

    private static VmActionIntended step(FoldDriver d, String vm) {
        VmActionIntended i = d.intent(vm, VmAction.REBOOT);
        return new VmActionIntended(i.vm(), i.action(), i.generation(), Optional.of(WAVE), AUTHOR);
    }

    private static LogRecord under(long epoch, NodeId writer, LogRecord r) {
        return new LogRecord(
                RecordId.of(r.id() + "-" + writer),
                writer,
                Optional.of(new ActingEpoch(ZONE, epoch)),
                r.expects(),
                r.change(),
                r.basis());
    }
}
