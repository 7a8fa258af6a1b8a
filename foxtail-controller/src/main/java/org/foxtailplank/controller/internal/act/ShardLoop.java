package org.foxtailplank.controller.internal.act;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import org.foxtailplank.controller.internal.plan.PlannedChange;
import org.foxtailplank.controller.internal.plan.PlatformObservation;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.internal.control.VmProcedureStep;
import org.foxtailplank.process.Log;
import org.foxtailplank.state.ActingEpoch;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.Verdict;

/**
 * Reconciles one availability zone while this process holds the zone's epoch.
 *
 * <p>It keeps no plan: each run reads the state again and takes the next steps, so any controller
 * can continue the intents of another. Not thread-safe.
 */
public final class ShardLoop {
    public static final Duration RECONCILE_INTERVAL = Duration.ofMillis(250);
    private static final Log LOG = Log.of("control");
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    /** Pause after planning, as a multiple of its duration: keeps planning below 4% of a core. */
    private static final int PLAN_PAUSE_FACTOR = 25;

    private static final int MAX_CONCURRENT_STEPS = 16;

    private final ZoneId mZone;
    private final ShardContext mContext;
    private final Mailbox mMailbox;
    private final EpochElection mEpoch;
    private final Map<VmId, Instant> mNextStep = new HashMap<>();
    private final Set<VmId> mStepsInProgress = new HashSet<>();
    private Instant mNextPlan = Instant.MIN;
    private boolean mReconciling;
    private boolean mReconcileAgain;
    private int mPendingWrites;

    /** Creates an idle loop. */
    public ShardLoop(ZoneId zone, ShardContext context, Mailbox mailbox) {
        mZone = zone;
        mContext = context;
        mMailbox = mailbox;
        mEpoch = new EpochElection(zone, context.epochs(), mailbox);
    }

    /** Reads the state and takes the next steps; at most one run is in progress. */
    public void reconcile() {
        mReconcileAgain = mReconciling;
        if (mReconciling) {
            return;
        }
        mReconciling = true;
        Instant now = mContext.clock().instant();
        boolean shouldPlan = mEpoch.mayHold() && mPendingWrites == 0 && !now.isBefore(mNextPlan);
        mMailbox.deliver(
                mContext.log().read(view -> readSnapshot(view, shouldPlan, now)),
                this::snapshotRead);
    }

    private ShardSnapshot readSnapshot(FleetView view, boolean shouldPlan, Instant now) {
        ShardSnapshot snapshot = ShardSnapshot.of(view, mZone);
        Optional<PlatformObservation> observation = mContext.monitor().observe(view);
        // Without the platform's VM list, VMs of a running fleet count as powered off, and the plan
        // would wake all of them.
        if (!shouldPlan || view.configuration().isEmpty() || observation.isEmpty()) {
            return snapshot;
        }
        long begin = System.nanoTime();
        List<PlannedChange> changes =
                mContext.planner().plan(view, mZone, observation.get(), now.toEpochMilli());
        return snapshot.withPlan(changes, Duration.ofNanos(System.nanoTime() - begin));
    }

    private void snapshotRead(Optional<ShardSnapshot> read) {
        mReconciling = false;
        read.ifPresent(this::actIfLeading);
        if (mReconcileAgain) {
            reconcile();
        }
    }

    private void actIfLeading(ShardSnapshot snapshot) {
        mEpoch.check(snapshot.epoch(), this::reconcile).ifPresent(epoch -> act(snapshot, epoch));
    }

    private void act(ShardSnapshot snapshot, ActingEpoch epoch) {
        Instant now = mContext.clock().instant();
        Set<VmId> pending =
                snapshot.pending().stream().map(p -> p.vm().id()).collect(Collectors.toSet());
        mContext.executor().retainOnly(pending);
        mNextStep.keySet().retainAll(pending);
        for (PendingVm vm : snapshot.pending()) {
            startStep(vm, epoch, now);
        }
        if (mPendingWrites == 0 && snapshot.plannedChanges().isPresent()) {
            mNextPlan = now.plus(snapshot.planningTime().multipliedBy(PLAN_PAUSE_FACTOR));
            writeChanges(snapshot.plannedChanges().get(), epoch);
        }
        if (mContext.monitor().claimPoll(now)) {
            mMailbox.deliver(
                    mContext.directory().list(Optional.empty()),
                    list -> list.ifPresent(mContext.monitor()::update));
        }
    }

    private void startStep(PendingVm pending, ActingEpoch epoch, Instant now) {
        VmId vm = pending.vm().id();
        boolean due = !now.isBefore(mNextStep.getOrDefault(vm, Instant.MIN));
        if (!due || mStepsInProgress.size() >= MAX_CONCURRENT_STEPS || !mStepsInProgress.add(vm)) {
            return;
        }
        mMailbox.deliver(
                mContext.executor().executeNext(pending, epoch), step -> stepCompleted(vm, step));
    }

    private void stepCompleted(VmId vm, Optional<VmProcedureStep> step) {
        mStepsInProgress.remove(vm);
        Duration pause = step.isPresent() ? RECONCILE_INTERVAL : RETRY_AFTER;
        mNextStep.put(vm, mContext.clock().instant().plus(pause));
    }

    private void writeChanges(List<PlannedChange> planned, ActingEpoch epoch) {
        mPendingWrites = planned.size();
        for (PlannedChange change : planned) {
            CompletionStage<Verdict> verdict =
                    mContext.writer()
                            .write(
                                    mContext.writer().nextId(),
                                    Optional.of(epoch),
                                    change.expectedVersions(),
                                    change.change());
            mMailbox.deliver(verdict, v -> changeWritten(change, v));
        }
    }

    private void changeWritten(PlannedChange planned, Optional<Verdict> verdict) {
        mPendingWrites--;
        if (verdict.isEmpty()) {
            mNextPlan = mContext.clock().instant().plus(RETRY_AFTER);
        }
        if (verdict.orElse(null) instanceof Verdict.Void v) {
            // The next run reads the state that made the change void.
            LOG.info(
                    "Shard {0}: {1} is void: {2}, {3}.",
                    mZone, planned.change().getClass().getSimpleName(), v.reason(), v.detail());
            mNextPlan = mContext.clock().instant().plus(RECONCILE_INTERVAL);
        }
        if (mPendingWrites == 0) {
            reconcile();
        }
    }
}
