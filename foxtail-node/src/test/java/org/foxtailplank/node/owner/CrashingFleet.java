package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.RunEnd;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.RunStatus;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.port.ChangeFeed;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.VmClient;
import org.foxtailplank.port.WorkerClient;
import org.foxtailplank.port.WorkerInfo;

/**
 * In-memory VMs whose workers crash and restart as another incarnation: by order of the test, or
 * when they start a task that crashes them. Tasks finish after a fixed time.
 */
final class CrashingFleet implements WorkerClient, VmClient {
    static final String SERVICE = "quoting";

    private static final Resources CAPACITY = Resources.of(8, 1L << 40, 0);
    private static final long TASK_MS = 1000;
    private static final long RESTART_MS = 3000;
    private static final long DEREGISTER_MS = 1500;
    private static final long ANSWER_MS = 2;

    private final FakeTime mTime;
    private final List<Vm> mVms = new ArrayList<>();
    private final List<ChangeFeed.Item<WorkerInfo>> mEntries = new ArrayList<>();
    private final Map<TaskName, Long> mCrashDelayMs = new HashMap<>();
    private final Map<TaskName, List<String>> mStarts = new HashMap<>();
    private final Map<String, Integer> mCrashes = new HashMap<>();

    CrashingFleet(FakeTime time, int vms) {
        mTime = time;
        for (int v = 0; v < vms; v++) {
            Vm vm = new Vm("vm" + v);
            mVms.add(vm);
            vm.restart();
        }
    }

    /** Makes each worker crash that starts a task; a negative delay: before it answers. */
    void crashOnStart(TaskName task, long delayMs) {
        mCrashDelayMs.put(task, delayMs);
    }

    /** Crashes the worker of a VM, unless it is down. */
    void crash(int vm) {
        mVms.get(vm).crash();
    }

    /** Incarnations that have begun a task, in order. */
    List<String> starts(TaskName task) {
        return mStarts.getOrDefault(task, List.of());
    }

    /** Number of crashes of workers while they ran a task of a job. */
    int crashesUnder(String job) {
        return mCrashes.getOrDefault(job, 0);
    }

    /** The directory of these workers. */
    ChangeFeed<WorkerInfo> directory() {
        return new ChangeFeed<>() {
            @Override
            public void latest(Consumer<Result<WorkerInfo>> callback) {
                callback.accept(new Page<>(List.copyOf(mEntries), mEntries.size(), true));
            }

            @Override
            public void changes(long position, long waitMs, Consumer<Result<WorkerInfo>> callback) {
                List<Item<WorkerInfo>> news = mEntries.subList((int) position, mEntries.size());
                callback.accept(new Page<>(List.copyOf(news), mEntries.size(), true));
            }
        };
    }

    private record Run(TaskName task, int attempt) {}

    private final class Vm {
        private final String mId;
        private final Map<TaskName, Run> mRuns = new LinkedHashMap<>();
        private final Map<TaskName, Long> mBegunMs = new HashMap<>();
        private final List<RunEnd> mEnds = new ArrayList<>();
        private final List<Runnable> mWaitingPolls = new ArrayList<>();
        private String mWorker = "";
        private int mIncarnations;
        private long mToken;
        private long mLastEnd;

        Vm(String id) {
            mId = id;
        }

        void restart() {
            mIncarnations++;
            mWorker = mId + '-' + mIncarnations;
            mToken = 0;
            mLastEnd = 0;
            WorkerInfo info =
                    new WorkerInfo(
                            WorkerIncarnation.ofUnknownStart(mWorker),
                            SERVICE,
                            mId,
                            "zone",
                            CAPACITY,
                            Set.of("r1"),
                            "r1",
                            false);
            mEntries.add(new ChangeFeed.Item<>(mWorker, Optional.of(info)));
        }

        void crash() {
            if (mWorker.isEmpty()) {
                return;
            }
            String worker = mWorker;
            mRuns.keySet().forEach(t -> mCrashes.merge(t.job(), 1, Integer::sum));
            mRuns.clear();
            mEnds.clear();
            mWorker = "";
            answerPolls();
            mTime.after(
                    DEREGISTER_MS,
                    () -> mEntries.add(new ChangeFeed.Item<>(worker, Optional.empty())));
            mTime.after(RESTART_MS, this::restart);
        }

        void finish(String worker, Run run) {
            if (mWorker.equals(worker) && mRuns.remove(run.task(), run)) {
                end(run, RunOutcome.DONE);
            }
        }

        void end(Run run, RunOutcome outcome) {
            mLastEnd++;
            mEnds.add(new RunEnd(mLastEnd, run.task(), run.attempt(), outcome, ""));
            answerPolls();
        }

        private void answerPolls() {
            List<Runnable> polls = List.copyOf(mWaitingPolls);
            mWaitingPolls.clear();
            polls.forEach(Runnable::run);
        }
    }

    private Vm vm(WorkerAddress address) {
        return mVms.stream().filter(v -> v.mId.equals(address.address())).findFirst().orElseThrow();
    }

    /** Executes a command on a worker that is up and knows no later owner. */
    private <T> void call(
            WorkerAddress to,
            long token,
            Function<CommandOutcome, T> answer,
            Consumer<T> callback,
            Consumer<Vm> execute) {
        Vm vm = vm(to);
        if (vm.mWorker.isEmpty()) {
            mTime.after(ANSWER_MS, () -> callback.accept(answer.apply(CommandOutcome.NOT_SENT)));
        } else if (!vm.mWorker.equals(to.id())) {
            mTime.after(ANSWER_MS, () -> callback.accept(answer.apply(CommandOutcome.OTHER_LIFE)));
        } else if (token < vm.mToken) {
            mTime.after(ANSWER_MS, () -> callback.accept(answer.apply(CommandOutcome.FENCED)));
        } else {
            vm.mToken = token;
            execute.accept(vm);
        }
    }

    private void answer(Vm vm, String worker, Consumer<CommandResponse> callback) {
        mTime.after(
                ANSWER_MS,
                () -> {
                    boolean alive = vm.mWorker.equals(worker);
                    CommandOutcome outcome =
                            alive ? CommandOutcome.DONE : CommandOutcome.UNANSWERED;
                    callback.accept(new CommandResponse(outcome, mTime.nowMs()));
                });
    }

    @Override
    public void start(WorkerAddress to, StartCommand command, Consumer<CommandResponse> callback) {
        call(
                to,
                command.run().token(),
                o -> new CommandResponse(o, mTime.nowMs()),
                callback,
                vm -> begin(vm, new Run(command.run().task(), command.run().attempt()), callback));
    }

    private void begin(Vm vm, Run run, Consumer<CommandResponse> callback) {
        String worker = vm.mWorker;
        answer(vm, worker, callback);
        if (run.equals(vm.mRuns.put(run.task(), run))) {
            return;
        }
        vm.mBegunMs.put(run.task(), mTime.nowMs());
        mStarts.computeIfAbsent(run.task(), t -> new ArrayList<>()).add(worker);
        mTime.after(TASK_MS, () -> vm.finish(worker, run));
        Long delayMs = mCrashDelayMs.get(run.task());
        if (delayMs != null && delayMs < 0) {
            vm.crash();
        } else if (delayMs != null) {
            mTime.after(ANSWER_MS + delayMs, () -> crashIfUp(vm, worker));
        }
    }

    private static void crashIfUp(Vm vm, String worker) {
        if (vm.mWorker.equals(worker)) {
            vm.crash();
        }
    }

    @Override
    public void stop(WorkerAddress to, RunCommand command, Consumer<CommandResponse> callback) {
        call(
                to,
                command.token(),
                o -> new CommandResponse(o, mTime.nowMs()),
                callback,
                vm -> {
                    Run run = new Run(command.task(), command.attempt());
                    if (vm.mRuns.remove(run.task(), run)) {
                        vm.end(run, RunOutcome.STOPPED);
                    }
                    answer(vm, vm.mWorker, callback);
                });
    }

    @Override
    public void throttle(
            WorkerAddress to, RunCommand command, int percent, Consumer<CommandResponse> callback) {
        throw new AssertionError("no task uses spare capacity");
    }

    @Override
    public void poll(WorkerAddress to, PollCommand command, Consumer<PollResponse> callback) {
        call(
                to,
                command.token(),
                o ->
                        new PollResponse(
                                o,
                                WorkerIncarnation.UNKNOWN_START_MS,
                                mTime.nowMs(),
                                List.of(),
                                List.of()),
                callback,
                vm -> holdPoll(vm, command, callback));
    }

    private void holdPoll(Vm vm, PollCommand command, Consumer<PollResponse> callback) {
        vm.mEnds.removeIf(e -> e.sequence() <= command.acknowledged());
        String worker = vm.mWorker;
        boolean[] answered = new boolean[1];
        Runnable answer =
                () -> {
                    if (!answered[0]) {
                        answered[0] = true;
                        PollResponse response = lists(vm, worker);
                        mTime.after(ANSWER_MS, () -> callback.accept(response));
                    }
                };
        if (vm.mEnds.isEmpty() && command.waitMs() > 0) {
            vm.mWaitingPolls.add(answer);
            mTime.after(command.waitMs(), answer);
        } else {
            answer.run();
        }
    }

    private PollResponse lists(Vm vm, String worker) {
        if (!vm.mWorker.equals(worker)) {
            return new PollResponse(
                    CommandOutcome.UNANSWERED,
                    WorkerIncarnation.UNKNOWN_START_MS,
                    -1,
                    List.of(),
                    List.of());
        }
        List<RunStatus> running = new ArrayList<>();
        for (Run r : vm.mRuns.values()) {
            double percent = 100.0 * (mTime.nowMs() - vm.mBegunMs.get(r.task())) / TASK_MS;
            running.add(new RunStatus(r.task(), r.attempt(), "", Math.min(99, percent), 0));
        }
        return new PollResponse(
                CommandOutcome.DONE,
                WorkerIncarnation.UNKNOWN_START_MS,
                mTime.nowMs(),
                running,
                vm.mEnds);
    }

    @Override
    public void list(Consumer<Optional<List<VmInfo>>> callback) {
        List<VmInfo> infos = new ArrayList<>();
        for (Vm v : mVms) {
            VmPhase phase = v.mWorker.isEmpty() ? VmPhase.DOWN : VmPhase.UP;
            infos.add(new VmInfo(v.mId, SERVICE, phase, v.mWorker, CAPACITY));
        }
        callback.accept(Optional.of(infos));
    }

    @Override
    public void move(String vm, String pool, Holder holder, Consumer<VmOutcome> callback) {
        throw new AssertionError("there is no other pool");
    }

    @Override
    public void reboot(String vm, long wave, Holder holder, Consumer<VmOutcome> callback) {
        throw new AssertionError("there is no wave");
    }
}
