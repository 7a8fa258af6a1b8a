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
 * The platform's VMs with a backend server on each, after docs/PLATFORM.md.
 *
 * <p>An action takes a second. A VM has one request in flight until it is drained. An entry that
 * has not heard of it sends another one a second later, which takes three, and so meets a VM that
 * is stopped before that.
 */
final class FakePlatform {
    private static final Duration ACTION_TIME = Duration.ofSeconds(1);
    private static final Duration LATE_REQUEST_AFTER = Duration.ofSeconds(1);
    private static final Duration LATE_REQUEST_UNTIL = Duration.ofSeconds(4);
    private static final Duration NEVER = Duration.ofDays(1);

    private final FakeClock mClock;
    private final Map<VmId, Vm> mVms = new LinkedHashMap<>();
    private final List<String> mEffects = new ArrayList<>();
    private final List<String> mCutOff = new ArrayList<>();
    private boolean mAway;
    private int mLostAnswers;
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
        private boolean mFailsNext;
        private boolean mStuck;
        private Optional<Instant> mDrained = Optional.empty();
        private Optional<ActionRequest> mLast = Optional.empty();
        private Instant mLastAt = Instant.MIN;
        private boolean mLastFailed;
        private final Map<String, ActionRequest> mTaken = new HashMap<>();
    }

    FakePlatform(FakeClock clock) {
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

    void setAway(boolean away) {
        mAway = away;
    }

    void loseAnswers(int times) {
        mLostAnswers = times;
    }

    void power(String id, VmPower power) {
        mVms.get(VmId.of(id)).mPower = power;
    }

    void loseRack(String rack) {
        mVms.values().stream()
                .filter(vm -> vm.mRack.value().equals(rack))
                .forEach(vm -> vm.mPower = VmPower.FAILED);
    }

    void failNextAction(String id) {
        mVms.get(VmId.of(id)).mFailsNext = true;
    }

    /** A request on this VM never ends. */
    void stick(String id) {
        mVms.get(VmId.of(id)).mStuck = true;
    }

    /** Is called with a VM at the moment at which it is stopped. */
    void onStop(Consumer<String> onStop) {
        mOnStop = onStop;
    }

    /** Actions that took effect, in order, as {@code action vm}. */
    List<String> effects() {
        return mEffects;
    }

    /** Stops that cut off a request in flight. */
    List<String> cutOff() {
        return mCutOff;
    }

    long serving(String service) {
        return mVms.values().stream()
                .filter(vm -> vm.mService.value().equals(service))
                .filter(vm -> power(vm) == VmPower.ON && vm.mDrained.isEmpty())
                .count();
    }

    boolean isServing(String id) {
        Vm vm = mVms.get(VmId.of(id));
        return power(vm) == VmPower.ON && vm.mDrained.isEmpty();
    }

    VmDirectory directory(Interruption interruption) {
        return new VmDirectory() {
            @Override
            public CompletionStage<VmList> list(Optional<ZoneId> zone) {
                if (mAway) {
                    return away();
                }
                List<VmReport> all = mVms.values().stream().map(FakePlatform.this::report).toList();
                return CompletableFuture.completedFuture(new VmList(mClock.instant(), all));
            }

            @Override
            public CompletionStage<Optional<VmReport>> find(VmId vm) {
                interruption.beforeCall();
                interruption.afterCall();
                return mAway
                        ? away()
                        : CompletableFuture.completedFuture(
                                Optional.ofNullable(mVms.get(vm)).map(FakePlatform.this::report));
            }
        };
    }

    VmActions actions(Interruption interruption) {
        return (id, request) -> {
            interruption.beforeAsk(id.value());
            interruption.beforeCall();
            if (mAway) {
                return away();
            }
            Vm vm = mVms.get(id);
            boolean accepted = vm.mTaken.containsKey(request.id());
            if (!accepted && request.generation() > vm.mGeneration) {
                accepted = true;
                take(vm, request);
            }
            interruption.afterCall();
            if (mLostAnswers > 0) {
                mLostAnswers--;
                return CompletableFuture.failedFuture(
                        new PlatformException("the answer was lost", Effect.UNKNOWN));
            }
            return CompletableFuture.completedFuture(new ActionReply(accepted, report(vm)));
        };
    }

    BackendHealth health() {
        return address -> {
            Vm vm = List.copyOf(mVms.values()).get(address.getPort() - 1);
            boolean runs = power(vm) == VmPower.ON || power(vm) == VmPower.DRAINING;
            return CompletableFuture.completedFuture(
                    runs
                            ? Optional.of(new BackendReport(vm.mDrained.isPresent(), inFlight(vm)))
                            : Optional.empty());
        };
    }

    private void take(Vm vm, ActionRequest request) {
        vm.mTaken.put(request.id(), request);
        vm.mGeneration = request.generation();
        vm.mLast = Optional.of(request);
        vm.mLastAt = mClock.instant();
        vm.mLastFailed = vm.mFailsNext && request.action() != PlatformAction.DRAIN;
        mEffects.add(request.action() + " " + vm.mId);
        if (request.action() == PlatformAction.DRAIN) {
            vm.mDrained = Optional.of(mClock.instant());
            return;
        }
        if (inFlight(vm) > 0 || isStillSentTo(vm)) {
            mCutOff.add(request.action() + " " + vm.mId);
        }
        if (request.action() != PlatformAction.WAKE) {
            mOnStop.accept(vm.mId.value());
        }
        vm.mDrained = Optional.empty();
        vm.mPoolGeneration = request.poolGeneration();
        vm.mPool = request.pool();
        vm.mService = ServiceId.of(request.pool().value());
        vm.mFailsNext = false;
        vm.mPower = vm.mLastFailed ? VmPower.FAILED : after(request.action(), vm.mPower);
    }

    private static VmPower after(PlatformAction action, VmPower before) {
        boolean stays = action == PlatformAction.REASSIGN && before == VmPower.OFF;
        return action == PlatformAction.SLEEP || stays ? VmPower.OFF : VmPower.ON;
    }

    private boolean isRunning(Vm vm) {
        boolean acts = vm.mLast.filter(a -> a.action() != PlatformAction.DRAIN).isPresent();
        return acts && mClock.instant().isBefore(vm.mLastAt.plus(ACTION_TIME));
    }

    private VmPower power(Vm vm) {
        if (isRunning(vm)) {
            return VmPower.REBOOTING;
        }
        boolean draining = vm.mPower == VmPower.ON && vm.mDrained.isPresent();
        return draining ? VmPower.DRAINING : vm.mPower;
    }

    private int inFlight(Vm vm) {
        if (vm.mPower != VmPower.ON) {
            return 0;
        }
        if (vm.mDrained.isEmpty()) {
            return 1;
        }
        Duration since = Duration.between(vm.mDrained.get(), mClock.instant());
        Duration until = vm.mStuck ? NEVER : LATE_REQUEST_UNTIL;
        boolean late = since.compareTo(LATE_REQUEST_AFTER) >= 0 && since.compareTo(until) < 0;
        return late ? 1 : 0;
    }

    private boolean isStillSentTo(Vm vm) {
        Instant now = mClock.instant();
        return vm.mPower == VmPower.ON
                && vm.mDrained.filter(t -> now.isBefore(t.plus(LATE_REQUEST_AFTER))).isPresent();
    }

    private VmReport report(Vm vm) {
        Optional<ActionReport> last =
                vm.mLast.map(a -> new ActionReport(a.id(), a.action(), progress(vm)));
        int port = List.copyOf(mVms.values()).indexOf(vm) + 1;
        return new VmReport(
                vm.mId,
                vm.mZone,
                vm.mRack,
                power(vm),
                Optional.of(vm.mPool),
                vm.mPoolGeneration,
                vm.mGeneration,
                vm.mDrained.isPresent(),
                last,
                Optional.of(
                        new InstanceReport(
                                vm.mService, InetSocketAddress.createUnresolved("vm", port))));
    }

    private Progress progress(Vm vm) {
        if (isRunning(vm)) {
            return Progress.RUNNING;
        }
        return vm.mLastFailed ? Progress.FAILED : Progress.DONE;
    }

    private static <T> CompletionStage<T> away() {
        return CompletableFuture.failedFuture(
                new PlatformException("the platform is away", Effect.NONE));
    }
}
