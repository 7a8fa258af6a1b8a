package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.port.ChangeFeed;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.VmClient;
import org.foxtailplank.port.WorkerClient;
import org.foxtailplank.port.WorkerInfo;

/**
 * VMs whose workers crash and are replaced, the directory in which the workers register, and the
 * list of VMs, which names a worker up to two seconds after the directory does.
 */
final class SimulatedFleet {
    static final String VM_SERVICE = "vms";

    private static final long WORKER_TIMEOUT_MS = 500;
    private static final long LATE_POLL_MS = 6000;
    private static final long VM_TIMEOUT_MS = 1000;
    private static final long LATE_LIST_MS = 1800;
    private static final int REGISTER_MS = 300;
    private static final int LIST_LAG_MS = 2000;
    private static final int MIN_EXPIRY_MS = 3000;
    private static final int MAX_EXPIRY_MS = 4500;
    private static final int BACK_MS = 2000;
    private static final Resources CAPACITY = Resources.of(3, 1L << 40, 0);

    private final FakeTime mTime;
    private final Random mRandom;
    private final SimulatedNetwork mNetwork;
    private final SimulatedStore mStore;
    private final SimulatedRuns mRuns;
    private final Map<String, Vm> mVms = new LinkedHashMap<>();
    private final List<ChangeFeed.Item<WorkerInfo>> mEntries = new ArrayList<>();
    private int mLastId;

    private static final class Vm {
        final String mId;
        final String mAddress;
        Optional<SimulatedWorker> mWorker = Optional.empty();
        String mListedWorker = "";

        Vm(String id, String address) {
            mId = id;
            mAddress = address;
        }
    }

    SimulatedFleet(
            FakeTime time,
            Random random,
            SimulatedNetwork network,
            SimulatedStore store,
            SimulatedRuns runs,
            int vms) {
        mTime = time;
        mRandom = random;
        mNetwork = network;
        mStore = store;
        mRuns = runs;
        for (int i = 0; i < vms; i++) {
            Vm vm = new Vm("vm" + i, "10.0.0." + (i + 1) + ":1");
            mVms.put(vm.mId, vm);
            boot(vm);
        }
    }

    List<String> vms() {
        return List.copyOf(mVms.keySet());
    }

    private void boot(Vm vm) {
        SimulatedWorker worker = new SimulatedWorker(mTime, mRandom, mRuns, "i-" + ++mLastId);
        vm.mWorker = Optional.of(worker);
        mRuns.trace("boot of " + worker + " on " + vm.mId);
        mTime.after(
                mRandom.nextInt(REGISTER_MS),
                () -> {
                    register(vm, worker);
                    mTime.after(mRandom.nextInt(LIST_LAG_MS), () -> vmListed(vm, worker));
                });
    }

    private void vmListed(Vm vm, SimulatedWorker worker) {
        if (vm.mWorker.equals(Optional.of(worker))) {
            vm.mListedWorker = worker.id();
        }
    }

    private void register(Vm vm, SimulatedWorker worker) {
        if (!worker.isUp()) {
            return;
        }
        if (mStore.isDown() || mNetwork.isCut(vm.mId, SimulatedStore.NAME)) {
            mTime.after(1 + mRandom.nextInt(REGISTER_MS), () -> register(vm, worker));
            return;
        }
        WorkerInfo info =
                new WorkerInfo(
                        WorkerIncarnation.ofUnknownStart(worker.id()),
                        OwnerFleetTestBase.SERVICE,
                        vm.mAddress,
                        "zone",
                        CAPACITY,
                        Set.of("a", "r1"),
                        "r1",
                        false);
        mEntries.add(new ChangeFeed.Item<>(worker.id(), Optional.of(info)));
    }

    /** Ends a VM's worker; another one starts there later. */
    void crash(String id, long bootMs) {
        Vm vm = mVms.get(id);
        if (vm.mWorker.isEmpty()) {
            return;
        }
        SimulatedWorker worker = vm.mWorker.get();
        worker.crash();
        vm.mWorker = Optional.empty();
        if (mRandom.nextBoolean()) {
            vm.mListedWorker = "";
        }
        mTime.after(mRandom.nextInt(MAX_EXPIRY_MS), () -> expire(worker.id()));
        mTime.after(bootMs, () -> boot(vm));
    }

    private void expire(String worker) {
        mRuns.trace("directory drops " + worker);
        mEntries.add(new ChangeFeed.Item<>(worker, Optional.empty()));
    }

    /** Keeps a live worker's heartbeats from the directory, which drops its entry. */
    void dropEntry(String id, long ms) {
        Vm vm = mVms.get(id);
        if (vm.mWorker.isPresent()) {
            SimulatedWorker worker = vm.mWorker.get();
            long silentMs = MAX_EXPIRY_MS + ms;
            mNetwork.cut(id, SimulatedStore.NAME, silentMs);
            mTime.after(
                    MIN_EXPIRY_MS + mRandom.nextInt(MAX_EXPIRY_MS - MIN_EXPIRY_MS),
                    () -> expire(worker.id()));
            mTime.after(silentMs + mRandom.nextInt(BACK_MS), () -> register(vm, worker));
        }
    }

    /** Returns a node's view of the directory. */
    ChangeFeed<WorkerInfo> directory(String node, SimulatedProcess process) {
        return new Directory(node, process);
    }

    private final class Directory implements ChangeFeed<WorkerInfo> {
        private final String mNode;
        private final SimulatedProcess mProcess;

        Directory(String node, SimulatedProcess process) {
            mNode = node;
            mProcess = process;
        }

        private void call(
                long waitMs,
                SimulatedNetwork.Server<Result<WorkerInfo>> server,
                Consumer<Result<WorkerInfo>> callback) {
            Result<WorkerInfo> failed = new Failed<>("no answer");
            mNetwork.send(
                    mProcess,
                    new SimulatedNetwork.Call<>(
                            mNode, SimulatedStore.NAME, VM_TIMEOUT_MS + waitMs, 0, failed, failed),
                    reply -> {
                        if (mStore.isDown()) {
                            reply.accept(failed);
                        } else {
                            server.execute(reply);
                        }
                    },
                    callback);
        }

        @Override
        public void latest(Consumer<Result<WorkerInfo>> callback) {
            call(
                    0,
                    reply -> {
                        Map<String, Item<WorkerInfo>> newest = new LinkedHashMap<>();
                        mEntries.forEach(e -> newest.put(e.key(), e));
                        newest.values().removeIf(e -> e.value().isEmpty());
                        reply.accept(
                                new Page<>(List.copyOf(newest.values()), mEntries.size(), true));
                    },
                    callback);
        }

        @Override
        public void changes(long position, long waitMs, Consumer<Result<WorkerInfo>> callback) {
            call(
                    waitMs,
                    reply -> {
                        boolean waits = position >= mEntries.size();
                        mTime.after(waits ? waitMs : 0, () -> reply.accept(changesFrom(position)));
                    },
                    callback);
        }

        private Page<WorkerInfo> changesFrom(long position) {
            int size = mEntries.size();
            return new Page<>(List.copyOf(mEntries.subList((int) position, size)), size, true);
        }
    }

    /** Returns a node's view of the VM service. */
    VmClient vmClient(String node, SimulatedProcess process) {
        return new Vms(node, process);
    }

    private final class Vms implements VmClient {
        private final String mNode;
        private final SimulatedProcess mProcess;

        Vms(String node, SimulatedProcess process) {
            mNode = node;
            mProcess = process;
        }

        private void list(long lateMs, Consumer<Optional<List<VmInfo>>> callback) {
            SimulatedNetwork.Call<Optional<List<VmInfo>>> call =
                    new SimulatedNetwork.Call<>(
                            mNode,
                            VM_SERVICE,
                            VM_TIMEOUT_MS,
                            lateMs,
                            Optional.empty(),
                            Optional.empty());
            mNetwork.send(mProcess, call, r -> r.accept(Optional.of(infos())), callback);
        }

        @Override
        public void list(Consumer<Optional<List<VmInfo>>> callback) {
            list(0, callback);
        }

        @Override
        public void listAcceptingLate(Consumer<Optional<List<VmInfo>>> callback) {
            list(LATE_LIST_MS, callback);
        }

        @Override
        public void move(String vm, String pool, Holder holder, Consumer<VmOutcome> callback) {
            callback.accept(VmOutcome.NOT_DONE);
        }

        @Override
        public void reboot(String vm, long wave, Holder holder, Consumer<VmOutcome> callback) {
            callback.accept(VmOutcome.NOT_DONE);
        }
    }

    private List<VmClient.VmInfo> infos() {
        List<VmClient.VmInfo> infos = new ArrayList<>();
        for (Vm vm : mVms.values()) {
            boolean down = vm.mWorker.isEmpty();
            infos.add(
                    new VmClient.VmInfo(
                            vm.mId,
                            OwnerFleetTestBase.SERVICE,
                            down ? VmClient.VmPhase.DOWN : VmClient.VmPhase.UP,
                            vm.mListedWorker,
                            CAPACITY));
        }
        return infos;
    }

    /** Returns a node's connection to the workers. */
    WorkerClient workerClient(String node, SimulatedProcess process) {
        return new Client(node, process);
    }

    private final class Client implements WorkerClient {
        private final String mNode;
        private final SimulatedProcess mProcess;

        Client(String node, SimulatedProcess process) {
            mNode = node;
            mProcess = process;
        }

        private <T> void call(
                WorkerAddress to,
                long waitMs,
                long lateMs,
                Function<CommandOutcome, T> failed,
                WorkerCall<T> execute,
                Consumer<T> callback) {
            Optional<Vm> vm =
                    mVms.values().stream().filter(v -> v.mAddress.equals(to.address())).findAny();
            if (vm.isEmpty()) {
                callback.accept(failed.apply(CommandOutcome.NOT_SENT));
                return;
            }
            SimulatedNetwork.Call<T> call =
                    new SimulatedNetwork.Call<>(
                            mNode,
                            vm.get().mId,
                            WORKER_TIMEOUT_MS + waitMs,
                            lateMs,
                            failed.apply(CommandOutcome.UNANSWERED),
                            failed.apply(CommandOutcome.NOT_SENT));
            mNetwork.send(
                    mProcess,
                    call,
                    reply -> {
                        Optional<SimulatedWorker> worker = vm.get().mWorker;
                        if (worker.isEmpty()) {
                            return;
                        }
                        if (worker.get().id().equals(to.id())) {
                            execute.execute(worker.get(), reply);
                        } else {
                            reply.accept(failed.apply(CommandOutcome.OTHER_LIFE));
                        }
                    },
                    callback);
        }

        private static CommandResponse failedCommand(CommandOutcome outcome) {
            return new CommandResponse(outcome, -1);
        }

        private static PollResponse failedPoll(CommandOutcome outcome) {
            return new PollResponse(
                    outcome, WorkerIncarnation.UNKNOWN_START_MS, -1, List.of(), List.of());
        }

        @Override
        public void start(
                WorkerAddress to, StartCommand command, Consumer<CommandResponse> callback) {
            call(to, 0, 0, Client::failedCommand, (w, r) -> r.accept(w.start(command)), callback);
        }

        @Override
        public void stop(WorkerAddress to, RunCommand command, Consumer<CommandResponse> callback) {
            call(to, 0, 0, Client::failedCommand, (w, r) -> r.accept(w.stop(command)), callback);
        }

        @Override
        public void throttle(
                WorkerAddress to,
                RunCommand command,
                int percent,
                Consumer<CommandResponse> callback) {
            call(
                    to,
                    0,
                    0,
                    Client::failedCommand,
                    (w, r) -> r.accept(w.throttle(command)),
                    callback);
        }

        @Override
        public void poll(WorkerAddress to, PollCommand command, Consumer<PollResponse> callback) {
            call(
                    to,
                    command.waitMs(),
                    LATE_POLL_MS,
                    Client::failedPoll,
                    (w, r) -> w.poll(command, r),
                    callback);
        }
    }

    private interface WorkerCall<T> {
        void execute(SimulatedWorker worker, Consumer<T> reply);
    }
}
