package org.foxtailplank.controller.internal.place;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.controller.internal.act.EpochElection;
import org.foxtailplank.controller.internal.act.Mailbox;
import org.foxtailplank.fleet.PlacementAction;
import org.foxtailplank.fleet.TaskId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.platform.TaskReply;
import org.foxtailplank.platform.TaskRequest;
import org.foxtailplank.platform.TaskStart;
import org.foxtailplank.platform.WorkerList;
import org.foxtailplank.process.Log;
import org.foxtailplank.state.ActingEpoch;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.TaskAction;
import org.foxtailplank.state.TaskConfirmed;
import org.foxtailplank.state.TaskIntended;
import org.foxtailplank.state.TaskOutcome;
import org.foxtailplank.state.Verdict;

/**
 * Places tasks while this process holds the epoch of placement.
 *
 * <p>A command is sent only once its intent is applied. It carries the attempt number, so workers
 * reject late commands of a paused controller. Not thread-safe.
 */
public final class PlacementLoop {
    /** Name of the placement shard, used like that of an availability zone. */
    public static final ZoneId SHARD = ZoneId.of("placement");

    public static final Duration RECONCILE_INTERVAL = Duration.ofMillis(250);
    private static final Log LOG = Log.of("placement");
    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);

    private final PlacementContext mContext;
    private final Mailbox mMailbox;
    private final EpochElection mEpoch;
    private final Set<TaskId> mPendingConfirmations = new HashSet<>();
    private PlacementPlanner mPlanner;
    private Optional<WorkerList> mReports = Optional.empty();
    private Instant mNextReportPoll = Instant.MIN;
    private boolean mReconciling;

    /** Creates an idle loop. */
    public PlacementLoop(PlacementContext context, Mailbox mailbox) {
        mContext = context;
        mMailbox = mailbox;
        mEpoch = new EpochElection(SHARD, context.epochs(), mailbox);
        mPlanner = newPlanner();
    }

    /** Reads the state and takes the next steps; at most one run is in progress. */
    public void reconcile() {
        if (mReconciling) {
            return;
        }
        mReconciling = true;
        Optional<WorkerList> reports = mReports;
        mReports = Optional.empty();
        mMailbox.deliver(
                mContext.log().read(view -> readSnapshot(view, reports)), this::snapshotRead);
    }

    private PlacementSnapshot readSnapshot(FleetView view, Optional<WorkerList> reports) {
        if (!mEpoch.mayHold() || view.configuration().isEmpty()) {
            return new PlacementSnapshot(view.epoch(SHARD), Optional.empty());
        }
        return new PlacementSnapshot(
                view.epoch(SHARD), Optional.of(mPlanner.plan(view, reports, nowMs())));
    }

    private void snapshotRead(Optional<PlacementSnapshot> snapshot) {
        mReconciling = false;
        if (snapshot.isEmpty()) {
            return;
        }
        Optional<ActingEpoch> epoch = mEpoch.check(snapshot.get().epoch(), this::epochAcquired);
        if (epoch.isPresent()) {
            snapshot.get().plan().ifPresent(plan -> act(plan, epoch.get()));
            pollReports();
        }
    }

    /** Discards the previous planner, whose decisions may never have been written as intents. */
    private void epochAcquired() {
        mPlanner = newPlanner();
        reconcile();
    }

    private PlacementPlanner newPlanner() {
        return new PlacementPlanner(mContext.settings(), mContext.policy());
    }

    private void pollReports() {
        Instant now = mContext.clock().instant();
        if (now.isBefore(mNextReportPoll)) {
            return;
        }
        mNextReportPoll = now.plus(REPORT_INTERVAL);
        mMailbox.deliver(
                mContext.workers().list(Optional.empty()),
                list -> mReports = list.isPresent() ? list : mReports);
    }

    private void act(PlacementSnapshot.Plan plan, ActingEpoch epoch) {
        plan.decision()
                .refused()
                .forEach((job, why) -> LOG.warn("Job {0} will never run: {1}.", job, why));
        plan.decision()
                .quarantined()
                .forEach((vm, why) -> LOG.warn("Worker {0} is quarantined: {1}.", vm, why));
        plan.confirmations().forEach(confirmation -> writeConfirmation(confirmation, epoch));
        plan.commands().forEach(command -> writeIntent(command, epoch));
        plan.renewals().forEach(this::renew);
    }

    private void writeIntent(TaskCommand command, ActingEpoch epoch) {
        PlacementAction action = command.action();
        if (action.repeated()) {
            sendCommand(command, epoch);
            return;
        }
        TaskIntended intent =
                new TaskIntended(
                        action.task().job(),
                        action.task().index(),
                        action.worker(),
                        action.action(),
                        action.attempt());
        mMailbox.deliver(
                write(intent, epoch),
                verdict -> {
                    if (verdict.filter(Verdict::isApplied).isPresent()) {
                        sendCommand(command, epoch);
                    }
                });
    }

    private void sendCommand(TaskCommand command, ActingEpoch epoch) {
        PlacementAction action = command.action();
        LOG.debug(
                "Sending {1} of task {2}/{3} to worker {0}: {4}.",
                action.worker(),
                action.action(),
                action.task().job(),
                action.task().index(),
                action.why());
        mMailbox.deliver(
                send(command), reply -> reply.ifPresent(r -> replyReceived(command, r, epoch)));
    }

    private CompletionStage<TaskReply> send(TaskCommand command) {
        PlacementAction action = command.action();
        if (action.action() != TaskAction.START) {
            return mContext.workers()
                    .act(
                            action.worker(),
                            toPlatform(action.task()),
                            action.attempt(),
                            toPlatform(action.action()));
        }
        TaskStart start =
                new TaskStart(
                        toPlatform(action.task()),
                        action.attempt(),
                        mContext.policy().lease(),
                        command.spec().processors(),
                        command.spec().memoryBytes(),
                        command.spec().accelerators());
        return mContext.workers().start(action.worker(), start);
    }

    // A worker that no longer knows a confirmed attempt, or is off, doesn't run it. An attempt that
    // was never confirmed may still be started by a delayed request; recorded as stopped, the task
    // would run twice. Such an attempt ends with its lease.
    private void replyReceived(TaskCommand command, TaskReply reply, ActingEpoch epoch) {
        PlacementAction action = command.action();
        boolean isGone = reply == TaskReply.UNKNOWN_TASK || reply == TaskReply.UNKNOWN_WORKER;
        if (isGone && command.confirmedRunning()) {
            TaskId task = action.task();
            writeConfirmation(
                    new TaskConfirmed(
                            task.job(),
                            task.index(),
                            action.worker(),
                            action.attempt(),
                            TaskOutcome.STOPPED),
                    epoch);
        }
    }

    private void writeConfirmation(TaskConfirmed confirmation, ActingEpoch epoch) {
        TaskId task = new TaskId(confirmation.job(), confirmation.task());
        if (mPendingConfirmations.add(task)) {
            mMailbox.deliver(
                    write(confirmation, epoch), verdict -> mPendingConfirmations.remove(task));
        }
    }

    private void renew(LeaseRenewal due) {
        mMailbox.deliver(
                mContext.workers()
                        .renew(
                                due.worker(),
                                toPlatform(due.task()),
                                due.attempt(),
                                mContext.policy().lease()),
                reply -> {
                    if (reply.equals(Optional.of(TaskReply.ACCEPTED))) {
                        leaseRenewed(due.task());
                    }
                });
    }

    private void leaseRenewed(TaskId task) {
        mContext.log()
                .read(
                        view -> {
                            mPlanner.leaseRenewed(task, nowMs());
                            return task;
                        });
    }

    private CompletionStage<Verdict> write(Change change, ActingEpoch epoch) {
        return mContext.writer()
                .write(mContext.writer().nextId(), Optional.of(epoch), Map.of(), change);
    }

    private long nowMs() {
        return mContext.clock().millis();
    }

    private static org.foxtailplank.platform.TaskId toPlatform(TaskId task) {
        return new org.foxtailplank.platform.TaskId(task.job(), task.index());
    }

    private static TaskRequest toPlatform(TaskAction action) {
        return switch (action) {
            case CHECKPOINT -> TaskRequest.CHECKPOINT;
            case THROTTLE -> TaskRequest.THROTTLE;
            case STOP -> TaskRequest.STOP;
            case START ->
                    throw new IllegalStateException("START is not a request to a running task");
        };
    }
}
