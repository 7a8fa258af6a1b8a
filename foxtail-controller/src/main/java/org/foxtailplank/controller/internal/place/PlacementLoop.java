package org.foxtailplank.controller.internal.place;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.controller.internal.act.EpochKeeper;
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
 * Places tasks while it holds the epoch of placement.
 *
 * <p>Every call follows an intent that was read back, and carries the attempt number, so a late
 * call of a paused controller meets a worker that knows a higher one. Not thread-safe.
 */
public final class PlacementLoop {
    /** Name of the shard; it stands beside those of the availability zones. */
    public static final ZoneId SHARD = ZoneId.of("placement");

    public static final Duration LOOK_EVERY = Duration.ofMillis(250);
    private static final Log LOG = Log.of("placement");
    private static final Duration REPORT_EVERY = Duration.ofSeconds(1);

    private final PlacementParts mParts;
    private final Mailbox mMailbox;
    private final EpochKeeper mEpoch;
    private final Set<TaskId> mRecording = new HashSet<>();
    private PlacementMind mMind;
    private Optional<WorkerList> mReports = Optional.empty();
    private Instant mNextReport = Instant.MIN;
    private boolean mLooking;

    /** A loop that has done nothing yet. */
    public PlacementLoop(PlacementParts parts, Mailbox mailbox) {
        mParts = parts;
        mMailbox = mailbox;
        mEpoch = new EpochKeeper(SHARD, parts.epochs(), mailbox);
        mMind = newMind();
    }

    /** Looks at the state and does what is next; at most one look is under way. */
    public void look() {
        if (mLooking) {
            return;
        }
        mLooking = true;
        Optional<WorkerList> reports = mReports;
        mReports = Optional.empty();
        mMailbox.deliver(mParts.log().read(view -> look(view, reports)), this::looked);
    }

    private PlacementLook look(FleetView view, Optional<WorkerList> reports) {
        if (!mEpoch.mayHold() || view.configuration().isEmpty()) {
            return new PlacementLook(view.epoch(SHARD), Optional.empty());
        }
        return new PlacementLook(
                view.epoch(SHARD), Optional.of(mMind.plan(view, reports, nowMs())));
    }

    private void looked(Optional<PlacementLook> look) {
        mLooking = false;
        if (look.isEmpty()) {
            return;
        }
        Optional<ActingEpoch> epoch = mEpoch.check(look.get().epoch(), this::taken);
        if (epoch.isPresent()) {
            look.get().plan().ifPresent(plan -> act(plan, epoch.get()));
            askForReports();
        }
    }

    /** What an earlier epoch's mind proposed was never intended, so a new one starts anew. */
    private void taken() {
        mMind = newMind();
        look();
    }

    private PlacementMind newMind() {
        return new PlacementMind(mParts.settings(), mParts.times());
    }

    private void askForReports() {
        Instant now = mParts.clock().instant();
        if (now.isBefore(mNextReport)) {
            return;
        }
        mNextReport = now.plus(REPORT_EVERY);
        mMailbox.deliver(
                mParts.workers().list(Optional.empty()),
                list -> mReports = list.isPresent() ? list : mReports);
    }

    private void act(PlacementLook.Plan plan, ActingEpoch epoch) {
        plan.decision()
                .refused()
                .forEach((job, why) -> LOG.warn("Job {0} will never run: {1}.", job, why));
        plan.decision()
                .quarantined()
                .forEach((vm, why) -> LOG.warn("Worker {0} gets no tasks: {1}.", vm, why));
        plan.ended().forEach(ended -> record(ended, epoch));
        plan.calls().forEach(call -> start(call, epoch));
        plan.renewals().forEach(this::renew);
    }

    private void start(TaskCall call, ActingEpoch epoch) {
        PlacementAction action = call.action();
        if (action.repeated()) {
            ask(call, epoch);
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
                        ask(call, epoch);
                    }
                });
    }

    private void ask(TaskCall call, ActingEpoch epoch) {
        PlacementAction action = call.action();
        LOG.debug(
                "Asks worker {0} to {1} task {2}/{3}: {4}.",
                action.worker(),
                action.action(),
                action.task().job(),
                action.task().index(),
                action.why());
        mMailbox.deliver(send(call), reply -> reply.ifPresent(r -> answered(call, r, epoch)));
    }

    private CompletionStage<TaskReply> send(TaskCall call) {
        PlacementAction action = call.action();
        if (action.action() != TaskAction.START) {
            return mParts.workers()
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
                        mParts.times().lease(),
                        call.spec().processors(),
                        call.spec().memoryBytes(),
                        call.spec().accelerators());
        return mParts.workers().start(action.worker(), start);
    }

    // A worker that has run an attempt and doesn't know it any more, or is off, runs nothing of it.
    // Where it never said that it runs, a start may still be on its way to it: taken as stopped,
    // the
    // task would be started elsewhere and run twice. Such an attempt ends with its lease.
    private void answered(TaskCall call, TaskReply reply, ActingEpoch epoch) {
        PlacementAction action = call.action();
        boolean isGone = reply == TaskReply.UNKNOWN_TASK || reply == TaskReply.UNKNOWN_WORKER;
        if (isGone && call.ran()) {
            TaskId task = action.task();
            record(
                    new TaskConfirmed(
                            task.job(),
                            task.index(),
                            action.worker(),
                            action.attempt(),
                            TaskOutcome.STOPPED),
                    epoch);
        }
    }

    private void record(TaskConfirmed ended, ActingEpoch epoch) {
        TaskId task = new TaskId(ended.job(), ended.task());
        if (mRecording.add(task)) {
            mMailbox.deliver(write(ended, epoch), verdict -> mRecording.remove(task));
        }
    }

    private void renew(Renewal due) {
        mMailbox.deliver(
                mParts.workers()
                        .renew(
                                due.worker(),
                                toPlatform(due.task()),
                                due.attempt(),
                                mParts.times().lease()),
                reply -> {
                    if (reply.equals(Optional.of(TaskReply.ACCEPTED))) {
                        renewed(due.task());
                    }
                });
    }

    private void renewed(TaskId task) {
        mParts.log()
                .read(
                        view -> {
                            mMind.renewed(task, nowMs());
                            return task;
                        });
    }

    private CompletionStage<Verdict> write(Change change, ActingEpoch epoch) {
        return mParts.writer()
                .write(mParts.writer().nextId(), Optional.of(epoch), Map.of(), change);
    }

    private long nowMs() {
        return mParts.clock().millis();
    }

    private static org.foxtailplank.platform.TaskId toPlatform(TaskId task) {
        return new org.foxtailplank.platform.TaskId(task.job(), task.index());
    }

    private static TaskRequest toPlatform(TaskAction action) {
        return switch (action) {
            case CHECKPOINT -> TaskRequest.CHECKPOINT;
            case THROTTLE -> TaskRequest.THROTTLE;
            case STOP -> TaskRequest.STOP;
            case START -> throw new IllegalStateException("a start is no request to a task");
        };
    }
}
