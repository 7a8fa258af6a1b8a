package org.foxtailplank.standin.internal.vm;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.settings.PoolSettings;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.standin.BackendStandin;
import org.foxtailplank.standin.Execution;
import org.foxtailplank.standin.PlatformOptions;
import org.foxtailplank.standin.internal.fault.Fault;
import org.foxtailplank.standin.internal.fault.Timers;
import org.foxtailplank.standin.internal.http.Json;
import org.foxtailplank.standin.internal.http.Reply;
import org.foxtailplank.standin.internal.http.Request;

/** The VMs' HTTP interface. */
public final class StandinVms implements AutoCloseable {

    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;

    private final Settings mSettings;
    private final VmSteps mSteps;
    private final Map<VmId, StandinVm> mVms = new TreeMap<>();
    private final AutoCloseable mTick;
    private VmDocuments.VmList mPublished;
    private VmDocuments.VmList mNext;

    /** The VMs of the settings, all off. */
    public StandinVms(
            Settings settings, PlatformOptions options, ClassicActorSystemProvider system) {
        mSettings = settings;
        mSteps = new VmSteps(this, settings, options, system);
        settings.vms()
                .forEach((id, s) -> mVms.put(id, new StandinVm(id, s, settings.firstPoolOf(id))));
        // Two steps of half the lag: what is shown is between half the lag and the whole lag old.
        mTick = Timers.every(Math.max(1, options.listLag().toMillis() / 2), this::publish);
    }

    /** Calls back with each VM that loses its power. */
    public void onPowerLost(Consumer<VmId> listener) {
        mSteps.onPowerLost(listener);
    }

    /** Powers on as many VMs of each pool as its target and reserve say, spread over racks. */
    public void powerOnFirst() throws IOException {
        for (PoolSettings pool : mSettings.pools().values()) {
            for (VmId vm : spread(pool.vms()).subList(0, wanted(pool))) {
                mSteps.powerOn(mVms.get(vm));
            }
        }
        publish();
        publish();
    }

    private static int wanted(PoolSettings pool) {
        return Math.min(pool.vms().size(), pool.target() + pool.reserve());
    }

    /** Orders VMs so that each leading part of them is spread over the racks. */
    private List<VmId> spread(Set<VmId> vms) {
        Map<RackId, Integer> seen = new HashMap<>();
        Map<VmId, Integer> turn = new HashMap<>();
        vms.stream()
                .sorted()
                .forEach(
                        v ->
                                turn.put(
                                        v,
                                        seen.merge(mVms.get(v).mSettings.rack(), 1, Integer::sum)));
        return vms.stream()
                .sorted(
                        Comparator.<VmId, Integer>comparing(turn::get)
                                .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    /** Answers a call under {@code /v1/vms}. */
    public CompletionStage<Reply> handle(Request request) throws IOException {
        return CompletableFuture.completedFuture(answer(request));
    }

    private synchronized Reply answer(Request request) throws IOException {
        if (request.is("GET", 2)) {
            return Reply.json(OK, list(request.parameter("zone")));
        }
        StandinVm vm = request.path().size() < 3 ? null : mVms.get(VmId.of(request.path().get(2)));
        if (vm == null) {
            return Reply.error(NOT_FOUND, "no such VM or call: " + request.what());
        }
        if (request.is("GET", 3)) {
            return Reply.json(OK, vm.document());
        }
        if (request.is("POST", 4) && request.path().get(3).equals("actions")) {
            return act(vm, Json.read(request.body(), VmDocuments.Act.class));
        }
        return Reply.error(NOT_FOUND, "no such call: " + request.what());
    }

    private Reply act(StandinVm vm, VmDocuments.Act act) {
        VmStep step = VmStep.parse(act.action());
        if (!mSettings.pools().containsKey(PoolId.of(act.pool()))) {
            throw new IllegalArgumentException("no such pool: " + act.pool());
        }
        if (vm.knows(act.id())) {
            return Reply.json(ACCEPTED, vm.document());
        }
        if (!vm.admits(act)) {
            return Reply.json(CONFLICT, vm.document());
        }
        mSteps.begin(vm, step, act);
        return Reply.json(ACCEPTED, vm.document());
    }

    private VmDocuments.VmList list(Optional<String> zone) {
        List<VmDocuments.Vm> vms =
                mPublished.vms().stream()
                        .filter(v -> zone.isEmpty() || zone.get().equals(v.zone()))
                        .toList();
        return new VmDocuments.VmList(mPublished.asOfMs(), vms);
    }

    private synchronized void publish() {
        List<VmDocuments.Vm> vms =
                mVms.values().stream()
                        .filter(v -> v.mPower == Power.ON || v.mPower == Power.DRAINING)
                        .map(StandinVm::document)
                        .toList();
        mPublished = mNext;
        mNext = new VmDocuments.VmList(System.currentTimeMillis(), vms);
    }

    /** The VMs that are powered on. */
    public synchronized Set<VmId> poweredOn() {
        return mVms.values().stream()
                .filter(v -> v.mPower == Power.ON || v.mPower == Power.DRAINING)
                .map(v -> v.mId)
                .collect(Collectors.toSet());
    }

    /** Fails a VM, or all VMs of a rack. */
    public synchronized void fail(Fault fault) {
        matching(fault).forEach(mSteps::fail);
    }

    /** Repairs a VM, or all VMs of a rack, and powers them on. */
    public synchronized void recover(Fault fault) throws IOException {
        for (StandinVm vm : matching(fault)) {
            mSteps.recover(vm);
        }
    }

    private List<StandinVm> matching(Fault fault) {
        List<StandinVm> matching = new ArrayList<>();
        for (StandinVm vm : mVms.values()) {
            boolean byName = fault.vm().filter(vm.mId.value()::equals).isPresent();
            boolean byRack = fault.rack().filter(vm.mSettings.rack().value()::equals).isPresent();
            if (byName || byRack) {
                matching.add(vm);
            }
        }
        return matching;
    }

    /** The backend server on a VM, if one runs there. */
    public synchronized Optional<BackendStandin> backend(VmId vm) {
        return Optional.ofNullable(mVms.get(vm))
                .flatMap(v -> v.mRunning)
                .map(StandinVm.Running::backend);
    }

    /** What the backend servers ran, also those that have gone since. */
    public synchronized Map<VmId, List<Execution>> executions() {
        return mSteps.executions(mVms.values());
    }

    /** The same by the VMs' names. */
    public Map<String, List<Execution>> executionsByName() {
        Map<String, List<Execution>> byName = new TreeMap<>();
        executions().forEach((vm, list) -> byName.put(vm.value(), list));
        return byName;
    }

    /** Requests in flight that planned stops cut off. */
    public synchronized int cutOff() {
        return mSteps.cutOff();
    }

    @Override
    public synchronized void close() {
        mVms.values().forEach(v -> v.mRunning.ifPresent(r -> r.backend().close()));
        try {
            mTick.close();
        } catch (Exception e) {
            throw new IllegalStateException("a timer can't be cancelled", e);
        }
    }
}
