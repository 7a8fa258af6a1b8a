package org.foxtailplank.standin.internal.vm;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.settings.ServiceSettings;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.standin.BackendOptions;
import org.foxtailplank.standin.BackendStandin;
import org.foxtailplank.standin.Execution;
import org.foxtailplank.standin.PlatformOptions;
import org.foxtailplank.standin.internal.fault.Timers;

/** Carries out actions on VMs over time; guarded by the lock of the fleet. */
final class VmSteps {

    private final Object mLock;
    private final Settings mSettings;
    private final PlatformOptions mOptions;
    private final ClassicActorSystemProvider mSystem;
    private final Map<VmId, List<Execution>> mPast = new TreeMap<>();
    private Consumer<VmId> mPowerLost = v -> {};
    private int mCutOff;

    VmSteps(
            Object lock,
            Settings settings,
            PlatformOptions options,
            ClassicActorSystemProvider system) {
        mLock = lock;
        mSettings = settings;
        mOptions = options;
        mSystem = system;
    }

    void onPowerLost(Consumer<VmId> listener) {
        mPowerLost = listener;
    }

    int cutOff() {
        return mCutOff;
    }

    Map<VmId, List<Execution>> executions(Collection<StandinVm> vms) {
        Map<VmId, List<Execution>> all = new TreeMap<>();
        mPast.forEach((vm, list) -> all.put(vm, new ArrayList<>(list)));
        for (StandinVm vm : vms) {
            vm.mRunning.ifPresent(
                    r ->
                            all.computeIfAbsent(vm.mId, v -> new ArrayList<>())
                                    .addAll(r.backend().executions()));
        }
        return all;
    }

    void begin(StandinVm vm, VmStep step, VmDocuments.Act act) {
        long turn = vm.begin(act);
        if (vm.mPower == Power.FAILED) {
            vm.end("failed");
            return;
        }
        if (step.drains() && vm.mPower == Power.ON) {
            drain(vm).thenRun(() -> onTurn(vm, turn, () -> carryOut(vm, step, act)));
        } else {
            carryOut(vm, step, act);
        }
    }

    private void carryOut(StandinVm vm, VmStep step, VmDocuments.Act act) {
        switch (step) {
            case WAKE -> {
                if (vm.mPower == Power.ON) {
                    vm.end("done");
                } else {
                    bootAfter(vm, Power.WAKING, mOptions.vmTimes().wake().toMillis());
                }
            }
            case SLEEP -> {
                stop(vm);
                vm.mPower = Power.OFF;
                vm.end("done");
            }
            case REBOOT -> bootAfter(vm, Power.REBOOTING, mOptions.vmTimes().reboot().toMillis());
            case REASSIGN -> {
                boolean off = vm.mPower == Power.OFF;
                vm.mPool = Optional.of(PoolId.of(act.pool()));
                vm.mPoolGeneration = act.poolGeneration();
                if (off) {
                    vm.end("done");
                } else {
                    bootAfter(vm, Power.REBOOTING, mOptions.vmTimes().reassign().toMillis());
                }
            }
            case DRAIN -> vm.end("done");
            default -> throw new IllegalStateException("unknown step " + step);
        }
    }

    private CompletionStage<Void> drain(StandinVm vm) {
        vm.mPower = Power.DRAINING;
        vm.mLeaving = true;
        if (vm.mRunning.isEmpty()) {
            return Timers.after(0);
        }
        BackendStandin backend = vm.mRunning.get().backend();
        backend.leave();
        return Timers.after(mOptions.vmTimes().leave().toMillis())
                .thenCompose(v -> backend.finish())
                .toCompletableFuture()
                .completeOnTimeout(
                        null,
                        mOptions.vmTimes()
                                .leave()
                                .plus(mOptions.vmTimes().drainTimeout())
                                .toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    private void bootAfter(StandinVm vm, Power meanwhile, long ms) {
        stop(vm);
        vm.mPower = meanwhile;
        long turn = vm.mTurn;
        Timers.after(ms)
                .thenRun(
                        () ->
                                onTurn(
                                        vm,
                                        turn,
                                        () -> {
                                            boot(vm);
                                            vm.end("done");
                                        }));
    }

    private void onTurn(StandinVm vm, long turn, Runnable step) {
        synchronized (mLock) {
            if (vm.mTurn == turn) {
                step.run();
            }
        }
    }

    private void boot(StandinVm vm) {
        try {
            powerOn(vm);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    void powerOn(StandinVm vm) throws IOException {
        vm.mPower = Power.ON;
        vm.mLeaving = false;
        Optional<ServiceId> service =
                vm.mPool.map(mSettings.pools()::get).flatMap(p -> p.service());
        if (service.isPresent()) {
            ServiceSettings settings = mSettings.services().get(service.get());
            BackendOptions options =
                    BackendOptions.named(vm.mId.value())
                            .withLimits(settings.slots(), settings.connections())
                            .withServiceTime(mOptions.work().service());
            BackendStandin backend = BackendStandin.start(options, mSystem);
            vm.mRunning = Optional.of(new StandinVm.Running(service.get(), backend));
        }
    }

    /** Stops what runs on a VM; counts what a planned stop cuts off. */
    private void stop(StandinVm vm) {
        mCutOff += vm.mRunning.map(r -> r.backend().inFlight()).orElse(0);
        halt(vm);
    }

    private void halt(StandinVm vm) {
        vm.mRunning.ifPresent(
                r -> {
                    r.backend().close();
                    mPast.computeIfAbsent(vm.mId, v -> new ArrayList<>())
                            .addAll(r.backend().executions());
                });
        vm.mRunning = Optional.empty();
        mPowerLost.accept(vm.mId);
    }

    void fail(StandinVm vm) {
        vm.mTurn++;
        halt(vm);
        vm.mPower = Power.FAILED;
        vm.mLeaving = false;
        if (vm.mLastAction.filter(a -> a.state().equals("running")).isPresent()) {
            vm.end("failed");
        }
    }

    void recover(StandinVm vm) throws IOException {
        if (vm.mPower == Power.FAILED) {
            powerOn(vm);
        }
    }
}
