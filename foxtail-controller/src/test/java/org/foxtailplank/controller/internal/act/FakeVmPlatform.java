package org.foxtailplank.controller.internal.act;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.internal.control.BackendReport;
import org.foxtailplank.platform.ActionReply;
import org.foxtailplank.platform.ActionReport;
import org.foxtailplank.platform.ActionReport.Progress;
import org.foxtailplank.platform.ActionRequest;
import org.foxtailplank.platform.InstanceReport;
import org.foxtailplank.platform.PlatformAction;
import org.foxtailplank.platform.PlatformException;
import org.foxtailplank.platform.PlatformException.Effect;
import org.foxtailplank.platform.VmActions;
import org.foxtailplank.platform.VmDirectory;
import org.foxtailplank.platform.VmList;
import org.foxtailplank.platform.VmPower;
import org.foxtailplank.platform.VmReport;

/**
 * Fake of the platform in docs/PLATFORM.md: VMs with a backend server each.
 *
 * <p>An action takes one second. A VM has one request in flight until it is drained. An entry that
 * does not know of the drain yet sends another request one second later, which takes three seconds;
 * stopping the VM before its end interrupts it.
 */
final class FakeVmPlatform {
    private static final Duration ACTION_TIME = Duration.ofSeconds(1);
    private static final Duration LATE_REQUEST_AFTER = Duration.ofSeconds(1);
    private static final Duration LATE_REQUEST_UNTIL = Duration.ofSeconds(4);
    private static final Duration NEVER = Duration.ofDays(1);

    private final FakeClock mClock;
    private final Map<VmId, Vm> mVms = new LinkedHashMap<>();
    private final List<String> mEffects = new ArrayList<>();
    private final List<String> mCutOff = new ArrayList<>();
    private boolean mUnavailable;
    private int mResponsesToLose;
    private Consumer<String> mOnStop = vm -> {};

    private static final class Vm {
        private VmId mId;
        private ZoneId mZone;
        private RackId mRack;
        private PoolId mPool;
        private ServiceId mService;
        private VmPower mPower = VmPower.ON;
        private long mPoolGeneration = 1;
        private long mGeneration;
        private boolean mNextActionFails;
        private boolean mRequestNeverEnds;
        private Optional<Instant> mDrainedAt = Optional.empty();
        private Optional<ActionRequest> mLastAction = Optional.empty();
        private Instant mLastActionAt = Instant.MIN;
        private boolean mLastActionFailed;
        private final Map<String, ActionRequest> mAccepted = new HashMap<>();
    }

    FakeVmPlatform(FakeClock clock) {
        mClock = clock;
    }

    void add(String id, String zone, String rack, String service) {
        Vm vm = new Vm();
        vm.mId = VmId.of(id);
        vm.mZone = ZoneId.of(zone);
        vm.mRack = RackId.of(rack);
        vm.mPool = PoolId.of(service);
        vm.mService = ServiceId.of(service);
        mVms.put(vm.mId, vm);
    }

    void setUnavailable(boolean unavailable) {
        mUnavailable = unavailable;
    }

    void loseResponses(int times) {
        mResponsesToLose = times;
    }

    void setPower(String id, VmPower power) {
        mVms.get(VmId.of(id)).mPower = power;
    }

    void failRack(String rack) {
        mVms.values().stream()
                .filter(vm -> vm.mRack.value().equals(rack))
                .forEach(vm -> vm.mPower = VmPower.FAILED);
    }

    void failNextAction(String id) {
        mVms.get(VmId.of(id)).mNextActionFails = true;
    }

    /** Keeps a request on this VM in flight forever. */
    void neverEndRequest(String id) {
        mVms.get(VmId.of(id)).mRequestNeverEnds = true;
    }

    /** Sets a callback that runs when a VM is stopped. */
    void onStop(Consumer<String> onStop) {
        mOnStop = onStop;
    }

    /** Returns the executed actions in order, as {@code action vm}. */
    List<String> effects() {
        return mEffects;
    }

    /** Returns the actions that interrupted a request in flight. */
    List<String> cutOff() {
        return mCutOff;
    }

    long serving(String service) {
        return mVms.values().stream()
                .filter(vm -> vm.mService.value().equals(service))
                .filter(vm -> power(vm) == VmPower.ON && vm.mDrainedAt.isEmpty())
                .count();
    }

    boolean isServing(String id) {
        Vm vm = mVms.get(VmId.of(id));
        return power(vm) == VmPower.ON && vm.mDrainedAt.isEmpty();
    }

    VmDirectory directory(Interruption interruption) {
        return new VmDirectory() {
            @Override
            public CompletionStage<VmList> list(Optional<ZoneId> zone) {
                if (mUnavailable) {
                    return unavailable();
                }
                List<VmReport> all =
                        mVms.values().stream().map(FakeVmPlatform.this::report).toList();
                return CompletableFuture.completedFuture(new VmList(mClock.instant(), all));
            }

            @Override
            public CompletionStage<Optional<VmReport>> find(VmId vm) {
                interruption.beforeCall();
                interruption.afterCall();
                return mUnavailable
                        ? unavailable()
                        : CompletableFuture.completedFuture(
                                Optional.ofNullable(mVms.get(vm)).map(FakeVmPlatform.this::report));
            }
        };
    }

    VmActions actions(Interruption interruption) {
        return (id, request) -> {
            interruption.beforeAction(id.value());
            interruption.beforeCall();
            if (mUnavailable) {
                return unavailable();
            }
            Vm vm = mVms.get(id);
            boolean accepted = vm.mAccepted.containsKey(request.id());
            if (!accepted && request.generation() > vm.mGeneration) {
                accepted = true;
                accept(vm, request);
            }
            interruption.afterCall();
            if (mResponsesToLose > 0) {
                mResponsesToLose--;
                return CompletableFuture.failedFuture(
                        new PlatformException("the response was lost", Effect.UNKNOWN));
            }
            return CompletableFuture.completedFuture(new ActionReply(accepted, report(vm)));
        };
    }

    BackendHealthClient health() {
        return address -> {
            Vm vm = List.copyOf(mVms.values()).get(address.getPort() - 1);
            boolean runs = power(vm) == VmPower.ON || power(vm) == VmPower.DRAINING;
            return CompletableFuture.completedFuture(
                    runs
                            ? Optional.of(
                                    new BackendReport(vm.mDrainedAt.isPresent(), inFlight(vm)))
                            : Optional.empty());
        };
    }

    private void accept(Vm vm, ActionRequest request) {
        vm.mAccepted.put(request.id(), request);
        vm.mGeneration = request.generation();
        vm.mLastAction = Optional.of(request);
        vm.mLastActionAt = mClock.instant();
        vm.mLastActionFailed = vm.mNextActionFails && request.action() != PlatformAction.DRAIN;
        mEffects.add(request.action() + " " + vm.mId);
        if (request.action() == PlatformAction.DRAIN) {
            vm.mDrainedAt = Optional.of(mClock.instant());
            return;
        }
        if (inFlight(vm) > 0 || receivesRequests(vm)) {
            mCutOff.add(request.action() + " " + vm.mId);
        }
        if (request.action() != PlatformAction.WAKE) {
            mOnStop.accept(vm.mId.value());
        }
        vm.mDrainedAt = Optional.empty();
        vm.mPoolGeneration = request.poolGeneration();
        vm.mPool = request.pool();
        vm.mService = ServiceId.of(request.pool().value());
        vm.mNextActionFails = false;
        vm.mPower = vm.mLastActionFailed ? VmPower.FAILED : powerAfter(request.action(), vm.mPower);
    }

    private static VmPower powerAfter(PlatformAction action, VmPower before) {
        boolean stays = action == PlatformAction.REASSIGN && before == VmPower.OFF;
        return action == PlatformAction.SLEEP || stays ? VmPower.OFF : VmPower.ON;
    }

    private boolean isActionRunning(Vm vm) {
        boolean acts = vm.mLastAction.filter(a -> a.action() != PlatformAction.DRAIN).isPresent();
        return acts && mClock.instant().isBefore(vm.mLastActionAt.plus(ACTION_TIME));
    }

    private VmPower power(Vm vm) {
        if (isActionRunning(vm)) {
            return VmPower.REBOOTING;
        }
        boolean draining = vm.mPower == VmPower.ON && vm.mDrainedAt.isPresent();
        return draining ? VmPower.DRAINING : vm.mPower;
    }

    private int inFlight(Vm vm) {
        if (vm.mPower != VmPower.ON) {
            return 0;
        }
        if (vm.mDrainedAt.isEmpty()) {
            return 1;
        }
        Duration since = Duration.between(vm.mDrainedAt.get(), mClock.instant());
        Duration until = vm.mRequestNeverEnds ? NEVER : LATE_REQUEST_UNTIL;
        boolean late = since.compareTo(LATE_REQUEST_AFTER) >= 0 && since.compareTo(until) < 0;
        return late ? 1 : 0;
    }

    private boolean receivesRequests(Vm vm) {
        Instant now = mClock.instant();
        return vm.mPower == VmPower.ON
                && vm.mDrainedAt.filter(t -> now.isBefore(t.plus(LATE_REQUEST_AFTER))).isPresent();
    }

    private VmReport report(Vm vm) {
        Optional<ActionReport> last =
                vm.mLastAction.map(a -> new ActionReport(a.id(), a.action(), progress(vm)));
        int port = List.copyOf(mVms.values()).indexOf(vm) + 1;
        return new VmReport(
                vm.mId,
                vm.mZone,
                vm.mRack,
                power(vm),
                Optional.of(vm.mPool),
                vm.mPoolGeneration,
                vm.mGeneration,
                vm.mDrainedAt.isPresent(),
                last,
                Optional.of(
                        new InstanceReport(
                                vm.mService, InetSocketAddress.createUnresolved("vm", port))));
    }

    private Progress progress(Vm vm) {
        if (isActionRunning(vm)) {
            return Progress.RUNNING;
        }
        return vm.mLastActionFailed ? Progress.FAILED : Progress.DONE;
    }

    private static <T> CompletionStage<T> unavailable() {
        return CompletableFuture.failedFuture(
                new PlatformException("the platform is unavailable", Effect.NONE));
    }
}
