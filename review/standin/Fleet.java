import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Stand-in of the machines with their minions, and of the interface that moves machines. */
final class Fleet implements Http.Handler {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long HOLD_MAX_MS = 6000;
    private static final long STOP_MS = 100;
    private static final long MOVE_MS = 1500;
    private static final long GANG_MS = 3000;
    private static final int MAX_ENDS = 500;

    /** What a subtask needs and how long it runs. */
    record Work(long cpu, long memMb, long ms) {}

    private final Store mStore;
    private final Recorder mRecorder;
    private final Set<String> mStandbyPools;
    private final ScheduledExecutorService mTimers =
            Executors.newScheduledThreadPool(
                    4,
                    r -> {
                        Thread t = new Thread(r, "minions");
                        t.setDaemon(true);
                        return t;
                    });
    private final Map<String, Machine> mMachines = new LinkedHashMap<>();
    private final Map<String, Work> mWork = new ConcurrentHashMap<>();
    private final Map<String, Integer> mRunning = new ConcurrentHashMap<>();
    private final Map<String, Integer> mStarts = new ConcurrentHashMap<>();
    private final Map<String, Set<String>> mDone = new ConcurrentHashMap<>();

    /** Services whose tickets the starts of a job need, by job. */
    private final Map<String, Advice> mAdvised = new ConcurrentHashMap<>();

    /** Sizes of the steps whose subtasks work only together, by job and step. */
    private final Map<String, Integer> mGangSizes = new ConcurrentHashMap<>();

    /** What ends the runs of a gang that are present, by gang and subtask. */
    private final Map<String, Map<String, Consumer<String>>> mGangs = new ConcurrentHashMap<>();

    Fleet(Store store, Recorder recorder, Set<String> standbyPools) {
        mStore = store;
        mRecorder = recorder;
        mStandbyPools = standbyPools;
    }

    /** Names what the subtasks of one step of a job need. */
    void expect(String job, int step, Work work) {
        mWork.put(job + '/' + step, work);
    }

    /** Says that the subtasks of a step work only together. */
    void expectGang(String job, int step, int size) {
        mGangSizes.put(job + '/' + step, size);
    }

    /** Says that the starts of a job need tickets. */
    void expectTickets(String job, Advice advice) {
        mAdvised.put(job, advice);
    }

    /** Number of a job's runs at work. */
    int running(String job) {
        return mRunning.getOrDefault(job, 0);
    }

    /** Number of a job's runs so far. */
    int starts(String job) {
        return mStarts.getOrDefault(job, 0);
    }

    /** Subtasks of a job that have ended done; one end of a gang stands for all. */
    Set<String> done(String job) {
        return mDone.getOrDefault(job, Set.of());
    }

    private final class Machine {
        final String mName;
        final String mZone;
        final String mRack;
        final Work mCapacity;
        String mPool;
        String mState = "up";
        long mFence;
        Optional<Minion> mMinion = Optional.empty();
        int mLives;

        Machine(String name, String zone, String rack, String pool, Work capacity) {
            mName = name;
            mZone = zone;
            mRack = rack;
            mPool = pool;
            mCapacity = capacity;
        }

        /** A machine of a pool on standby is off and has no minion. */
        synchronized void boot() {
            mState = "up";
            if (mStandbyPools.contains(mPool)) {
                return;
            }
            try {
                Minion minion = new Minion(this, "i-" + mName + "-" + ++mLives);
                mMinion = Optional.of(minion);
                minion.register();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        synchronized boolean end(String state, String pool) {
            if (!mState.equals("up")) {
                return false;
            }
            mState = state;
            mPool = pool;
            mMinion.ifPresent(Minion::end);
            mMinion = Optional.empty();
            mTimers.schedule(this::boot, MOVE_MS, TimeUnit.MILLISECONDS);
            return true;
        }
    }

    private static final class Run {
        final String mTask;
        final int mAttempt;
        final Work mWork;
        final long mAtMs;
        boolean mStopping;

        Run(String task, int attempt, Work work, long atMs) {
            mTask = task;
            mAttempt = attempt;
            mWork = work;
            mAtMs = atMs;
        }
    }

    private record End(long number, String task, int attempt, String how) {}

    /** One life of a machine. */
    private final class Minion implements Http.Handler {
        final Machine mMachine;
        final String mId;
        final String mAddress;
        final long mBootMs = System.nanoTime() / 1_000_000;
        final Map<String, Run> mRuns = new LinkedHashMap<>();
        final Map<String, Integer> mClosed = new HashMap<>();
        final List<End> mEnds = new ArrayList<>();
        long mFence;
        long mLeaseUntil;
        long mEndNumber;
        long mCpuUsed;
        long mMemUsed;
        boolean mOver;

        Minion(Machine machine, String id) throws IOException {
            mMachine = machine;
            mId = id;
            mAddress = Http.serve(this);
            mTimers.scheduleAtFixedRate(this::checkLease, 50, 50, TimeUnit.MILLISECONDS);
        }

        long clock() {
            return 1000 + System.nanoTime() / 1_000_000 - mBootMs;
        }

        void register() {
            ObjectNode entry = JSON.createObjectNode();
            entry.put("service", mMachine.mPool).put("address", mAddress);
            entry.put("zone", mMachine.mZone).put("version", "v1").put("slots", 8);
            entry.put("state", "ready").put("coldLeftMs", 0);
            describe(mMachine, entry);
            entry.put("clockMs", clock()).put("seq", 1);
            mStore.put("keyed.servers", mId, entry.toString());
        }

        synchronized boolean hasRoomFor(Work work, int times) {
            return mCpuUsed + times * work.cpu() <= mMachine.mCapacity.cpu()
                    && mMemUsed + times * work.memMb() <= mMachine.mCapacity.memMb();
        }

        private synchronized void checkLease() {
            if (!mOver && clock() > mLeaseUntil) {
                List.copyOf(mRuns.values()).forEach(r -> finish(r, "lapsed"));
            }
        }

        private synchronized void end() {
            mOver = true;
            for (Run r : mRuns.values()) {
                mRunning.merge(job(r.mTask), -1, Integer::sum);
                mRecorder.line("gone " + r.mTask + " " + r.mAttempt + " with " + mId);
                breakGang(r);
            }
            mRuns.clear();
            mStore.put("keyed.servers", mId, "");
            notifyAll();
        }

        private void breakGang(Run r) {
            if (mGangSizes.containsKey(step(r.mTask))) {
                mTimers.execute(() -> endGang(gang(r.mTask, r.mAttempt), "broken"));
            }
        }

        private synchronized void finishIfAtWork(Run run, String how) {
            if (!mOver && !run.mStopping) {
                finish(run, how);
            }
        }

        private void finish(Run r, String how) {
            if (mRuns.remove(key(r.mTask, r.mAttempt)) == null) {
                return;
            }
            mCpuUsed -= r.mWork.cpu();
            mMemUsed -= r.mWork.memMb();
            mClosed.merge(r.mTask, r.mAttempt, Math::max);
            mEnds.add(new End(++mEndNumber, r.mTask, r.mAttempt, how));
            mRunning.merge(job(r.mTask), -1, Integer::sum);
            if (how.equals("done")) {
                mDone.computeIfAbsent(job(r.mTask), j -> ConcurrentHashMap.newKeySet())
                        .add(r.mTask);
            } else {
                breakGang(r);
            }
            mRecorder.line("end " + r.mTask + " " + r.mAttempt + " " + how + " on " + mId);
            notifyAll();
        }

        @Override
        public Http.Reply handle(Http.Request request) throws Exception {
            String expected = request.headers().getOrDefault("expect-instance", mId);
            if (mOver || !expected.equals(mId)) {
                return Http.Reply.json(421, "{}");
            }
            JsonNode body = JSON.readTree(request.body());
            synchronized (this) {
                long fence = body.path("fencingToken").asLong();
                if (fence < mFence) {
                    return conflict("fence");
                }
                mFence = fence;
                long until = Math.min(body.path("untilMs").asLong(), clock() + HOLD_MAX_MS);
                switch (request.path()) {
                    case "/v1/run-start":
                        return start(body, until);
                    case "/v1/run-stop":
                        return stop(body);
                    case "/v1/hold":
                        return hold(body, until);
                    default:
                        return ok(JSON.createObjectNode());
                }
            }
        }

        private Http.Reply start(JsonNode body, long until) {
            String task = body.path("task").asText();
            int attempt = body.path("attempt").asInt();
            if (mRuns.containsKey(key(task, attempt))) {
                mLeaseUntil = Math.max(mLeaseUntil, until);
                return ok(JSON.createObjectNode());
            }
            Work work = mWork.get(step(task));
            if (work == null) {
                return Http.Reply.json(400, "{\"clockMs\":" + clock() + "}");
            }
            if (until <= clock()) {
                return conflict("late");
            }
            mLeaseUntil = Math.max(mLeaseUntil, until);
            if (attempt <= mClosed.getOrDefault(task, 0)) {
                return conflict("old");
            }
            Advice advice = mAdvised.get(job(task));
            String ticket = body.path("ticket").asText();
            if (advice != null && !advice.isValid(ticket, occurrence(task), mId)) {
                mRecorder.line(
                        "rejected start of " + task + " " + attempt + " on " + mId
                                + ", ticket '" + ticket + "'");
                return conflict("ticket");
            }
            if (!hasRoomFor(work, 1)) {
                return conflict("room");
            }
            begin(new Run(task, attempt, work, clock()));
            return ok(JSON.createObjectNode());
        }

        private void begin(Run run) {
            String task = run.mTask;
            mRuns.put(key(task, run.mAttempt), run);
            mCpuUsed += run.mWork.cpu();
            mMemUsed += run.mWork.memMb();
            mRunning.merge(job(task), 1, Integer::sum);
            mStarts.merge(job(task), 1, Integer::sum);
            mRecorder.line("start " + task + " " + run.mAttempt + " on " + mId);
            if (mGangSizes.containsKey(step(task))) {
                joinGang(run, how -> finishIfAtWork(run, how));
            } else {
                mTimers.schedule(
                        () -> finishIfAtWork(run, "done"),
                        run.mWork.ms(),
                        TimeUnit.MILLISECONDS);
            }
        }

        private Http.Reply stop(JsonNode body) {
            String task = body.path("task").asText();
            int attempt = body.path("attempt").asInt();
            mClosed.merge(task, attempt, Math::max);
            Run run = mRuns.get(key(task, attempt));
            if (run != null && !run.mStopping) {
                run.mStopping = true;
                mTimers.schedule(
                        () -> {
                            synchronized (this) {
                                finish(run, "stopped");
                            }
                        },
                        STOP_MS,
                        TimeUnit.MILLISECONDS);
            }
            return ok(JSON.createObjectNode());
        }

        private Http.Reply hold(JsonNode body, long until) throws InterruptedException {
            mLeaseUntil = Math.max(mLeaseUntil, until);
            long acknowledged = body.path("ackPosition").asLong();
            mEnds.removeIf(e -> e.number() <= acknowledged);
            long waitUntil = clock() + Math.min(2000, body.path("waitMs").asLong());
            while (mEnds.isEmpty() && !mOver && clock() < waitUntil) {
                wait(Math.max(1, waitUntil - clock()));
            }
            ObjectNode answer = JSON.createObjectNode();
            ArrayNode running = answer.putArray("running");
            for (Run r : mRuns.values()) {
                long percent = Math.min(100, (clock() - r.mAtMs) * 100 / r.mWork.ms());
                running.addArray().add(r.mTask).add(r.mAttempt).add("").add(percent)
                        .add(r.mWork.cpu());
            }
            ArrayNode ended = answer.putArray("finished");
            for (End e : mEnds.subList(0, Math.min(MAX_ENDS, mEnds.size()))) {
                ended.addArray().add(e.number()).add(e.task()).add(e.attempt()).add(e.how())
                        .add("");
            }
            return ok(answer);
        }

        private Http.Reply ok(ObjectNode body) {
            return Http.Reply.json(200, body.put("clockMs", clock()).toString());
        }

        private Http.Reply conflict(String reason) {
            ObjectNode body = JSON.createObjectNode().put("clockMs", clock());
            return Http.Reply.json(409, body.put("reason", reason).toString());
        }
    }

    private synchronized void joinGang(Run run, Consumer<String> end) {
        String gang = gang(run.mTask, run.mAttempt);
        Map<String, Consumer<String>> ends =
                mGangs.computeIfAbsent(gang, g -> new ConcurrentHashMap<>());
        ends.put(run.mTask, end);
        int size = mGangSizes.get(step(run.mTask));
        if (ends.size() == size) {
            mTimers.schedule(
                    () -> endGang(gang, "done"), run.mWork.ms(), TimeUnit.MILLISECONDS);
            return;
        }
        mTimers.schedule(
                () -> {
                    if (mGangs.getOrDefault(gang, Map.of()).size() < size) {
                        endGang(gang, "alone");
                    }
                },
                GANG_MS,
                TimeUnit.MILLISECONDS);
    }

    private void endGang(String gang, String how) {
        Map<String, Consumer<String>> ends = mGangs.remove(gang);
        if (ends != null) {
            ends.values().forEach(e -> e.accept(how));
        }
    }

    private static String key(String task, int attempt) {
        return task + '/' + attempt;
    }

    private static String job(String task) {
        return task.substring(0, task.indexOf('.'));
    }

    private static String step(String task) {
        String[] parts = task.split("\\.");
        return parts[0] + '/' + parts[2];
    }

    private static String occurrence(String task) {
        return task.substring(0, task.lastIndexOf('.'));
    }

    private static String gang(String task, int attempt) {
        return key(occurrence(task), attempt);
    }

    private static void describe(Machine machine, ObjectNode entry) {
        entry.putObject("capacity")
                .put("cpu", machine.mCapacity.cpu())
                .put("memMb", machine.mCapacity.memMb())
                .put("gpu", 0);
        entry.putArray("labels").add("a").add(machine.mRack);
    }

    /** Adds a machine that is up. */
    void add(String name, String zone, String rack, String pool, long cpu, long memMb) {
        Machine m = new Machine(name, zone, rack, pool, new Work(cpu, memMb, 0));
        mMachines.put(name, m);
        m.boot();
    }

    /** Capacity of a pool in thousandths of a core, and the part in use. */
    long[] load(String pool) {
        long[] load = new long[2];
        for (Machine m : mMachines.values()) {
            synchronized (m) {
                if (m.mPool.equals(pool) && m.mMinion.isPresent()) {
                    load[0] += m.mCapacity.cpu();
                    load[1] += m.mMinion.get().mCpuUsed;
                }
            }
        }
        return load;
    }

    /** Whether a minion of a pool, on one of these machines, has room for some work twice over. */
    boolean hasRoomTwice(String pool, Set<String> machines, Work work) {
        for (Machine m : mMachines.values()) {
            synchronized (m) {
                boolean fits = m.mMinion.map(i -> i.hasRoomFor(work, 2)).orElse(false);
                boolean allowed = machines.isEmpty() || machines.contains(m.mName);
                if (m.mPool.equals(pool) && allowed && fits) {
                    return true;
                }
            }
        }
        return false;
    }

    @Override
    public Http.Reply handle(Http.Request request) throws Exception {
        if (request.path().equals("/v1/machines")) {
            return list();
        }
        JsonNode body = JSON.readTree(request.body());
        Machine m = mMachines.get(body.path("machine").asText());
        if (m == null) {
            return Http.Reply.json(400, "{}");
        }
        synchronized (m) {
            long fence = Long.parseLong(request.headers().getOrDefault("fencing-token", "0"));
            if (fence < m.mFence) {
                return Http.Reply.json(409, "{\"reason\":\"fence\"}");
            }
            m.mFence = fence;
            boolean move = request.path().equals("/v1/machine-move");
            String pool = move ? body.path("pool").asText() : m.mPool;
            if (move && m.mPool.equals(pool)) {
                return Http.Reply.json(200, "{}");
            }
            if (!m.end(move ? "moving" : "upkeep", pool)) {
                return Http.Reply.json(409, "{\"reason\":\"busy\"}");
            }
            mRecorder.line("machine " + m.mName + " " + request.path() + " " + pool);
            return Http.Reply.json(200, "{}");
        }
    }

    private Http.Reply list() {
        ObjectNode body = JSON.createObjectNode();
        ArrayNode list = body.putArray("machines");
        for (Machine m : mMachines.values()) {
            synchronized (m) {
                ObjectNode entry = list.addObject();
                entry.put("machine", m.mName).put("pool", m.mPool).put("state", m.mState);
                entry.put("zone", m.mZone);
                describe(m, entry);
                m.mMinion.ifPresentOrElse(i -> entry.put("id", i.mId), () -> entry.putNull("id"));
            }
        }
        body.putNull("nextToken");
        return Http.Reply.json(200, body.toString());
    }
}
