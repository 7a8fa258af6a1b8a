package org.foxtailplank.controller.internal.act;

import static java.util.concurrent.CompletableFuture.completedFuture;

import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.foxtailplank.id.VmId;
import org.foxtailplank.internal.control.BackendReport;
import org.foxtailplank.internal.control.PlatformCall;
import org.foxtailplank.internal.control.VmProcedure;
import org.foxtailplank.internal.control.VmProcedureStep;
import org.foxtailplank.platform.ActionReply;
import org.foxtailplank.platform.ActionRequest;
import org.foxtailplank.platform.InstanceReport;
import org.foxtailplank.platform.PlatformAction;
import org.foxtailplank.platform.VmActions;
import org.foxtailplank.platform.VmDirectory;
import org.foxtailplank.platform.VmReport;
import org.foxtailplank.process.Log;
import org.foxtailplank.state.ActingEpoch;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.Verdict;
import org.foxtailplank.state.VmAction;
import org.foxtailplank.state.VmActionConfirmed;
import org.foxtailplank.state.VmJoined;
import org.foxtailplank.state.VmState;

/**
 * Executes the steps of pending intents: observes a VM, decides on its next step and executes it.
 */
public final class VmStepExecutor {
    private static final Log LOG = Log.of("control");

    private final VmDirectory mDirectory;
    private final VmActions mActions;
    private final BackendHealthClient mBackendHealth;
    private final Supplier<VmProcedure> mProcedure;
    private final RecordWriter mWriter;
    private final InstantSource mClock;
    private final VmObserver mObserver = new VmObserver();

    /** Creates an executor. */
    public VmStepExecutor(
            VmDirectory directory,
            VmActions actions,
            BackendHealthClient health,
            Supplier<VmProcedure> procedure,
            RecordWriter writer,
            InstantSource clock) {
        mDirectory = directory;
        mActions = actions;
        mBackendHealth = health;
        mProcedure = procedure;
        mWriter = writer;
        mClock = clock;
    }

    /** Executes the next step of a VM; completes with that step. */
    CompletionStage<VmProcedureStep> executeNext(PendingVm pending, ActingEpoch epoch) {
        return mDirectory
                .find(pending.vm().id())
                .thenCompose(
                        report ->
                                report.map(r -> inspectAndExecute(pending, r, epoch))
                                        .orElseGet(VmStepExecutor::unknownVm));
    }

    void retainOnly(Set<VmId> vms) {
        mObserver.retainOnly(vms);
    }

    private static CompletionStage<VmProcedureStep> unknownVm() {
        return completedFuture(new VmProcedureStep.Wait("the platform to know the VM"));
    }

    private CompletionStage<VmProcedureStep> inspectAndExecute(
            PendingVm pending, VmReport report, ActingEpoch epoch) {
        CompletionStage<Optional<BackendReport>> health =
                report.instance()
                        .map(InstanceReport::address)
                        .map(mBackendHealth::fetch)
                        .orElseGet(() -> completedFuture(Optional.empty()));
        return health.thenCompose(
                backendReport -> {
                    VmProcedureStep step =
                            mProcedure
                                    .get()
                                    .next(
                                            pending.vm(),
                                            mObserver.observe(
                                                    pending,
                                                    report,
                                                    backendReport,
                                                    mClock.instant()));
                    return execute(step, pending, epoch).thenApply(done -> step);
                });
    }

    private CompletionStage<?> execute(VmProcedureStep step, PendingVm pending, ActingEpoch epoch) {
        VmId vm = pending.vm().id();
        if (step instanceof VmProcedureStep.RequestDrain drain) {
            return requestAction(pending, drain.call(), PlatformAction.DRAIN, "it is to stop");
        }
        if (step instanceof VmProcedureStep.RequestAction request) {
            return requestAction(
                    pending, request.call(), toPlatform(request.action()), request.note());
        }
        if (step instanceof VmProcedureStep.Confirm confirm) {
            long generation = pending.vm().generation();
            Change change = new VmActionConfirmed(vm, generation, confirm.outcome());
            return writeRecord(pending, change, epoch, confirm.outcome() + ", " + confirm.note());
        }
        if (step instanceof VmProcedureStep.Join join) {
            Change change = new VmJoined(vm, join.to());
            return writeRecord(pending, change, epoch, "joins " + join.to() + ", " + join.note());
        }
        return completedFuture(null);
    }

    private CompletionStage<ActionReply> requestAction(
            PendingVm pending, PlatformCall call, PlatformAction action, String note) {
        VmState state = pending.vm();
        VmId vm = state.id();
        LOG.info("Requesting {0} of VM {1}: {2}.", action, vm, note);
        return mActions.act(
                vm,
                new ActionRequest(
                        call.id(),
                        action,
                        call.generation(),
                        state.pool(),
                        state.poolGeneration()));
    }

    private CompletionStage<Verdict> writeRecord(
            PendingVm pending, Change change, ActingEpoch epoch, String note) {
        VmId vm = pending.vm().id();
        LOG.info("Recording for VM {0}: {1}.", vm, note);
        return mWriter.write(
                mWriter.nextId(),
                Optional.of(epoch),
                Map.of(ObjectKey.of(vm), pending.vm().version()),
                change);
    }

    private static PlatformAction toPlatform(VmAction action) {
        return switch (action) {
            case WAKE -> PlatformAction.WAKE;
            case SLEEP -> PlatformAction.SLEEP;
            case REBOOT -> PlatformAction.REBOOT;
            case REASSIGN -> PlatformAction.REASSIGN;
        };
    }
}
