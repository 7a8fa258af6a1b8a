package review.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import review.standin.Server.Answer;
import review.standin.Server.Request;

/** The users' platform: store, machines with their minions, and the operator. */
public final class Platform implements AutoCloseable {
    private static final long TICK_MS = 10;
    private static final long BEAT_MS = 1500;
    private static final long MOVE_MS = 1500;
    private static final long MEMORY_MB = 262_144;

    private final Recorder mRecorder;
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final ScheduledExecutorService mTimer = Executors.newSingleThreadScheduledExecutor();
    private final Store mStore;
    private final Set<String> mDone = ConcurrentHashMap.newKeySet();
    private final Map<String, Machine> mMachines = new LinkedHashMap<>();
    private final List<Server> mServers = new ArrayList<>();
    private String mStandby = "";
    private int mLives;
    private long mVersion;

    private static final class Machine {
        final String mName;
        final long mCpu;
        final String mZone;
        String mPool;
        String mState = "up";
        Minion mMinion;
        long mFence;
        long mSequence;

        Machine(String name, String zone, String pool, long cpu) {
            mName = name;
            mZone = zone;
            mPool = pool;
            mCpu = cpu;
        }
    }

    public Platform(Recorder recorder) {
        mRecorder = recorder;
        mStore = new Store(recorder);
        mTimer.scheduleAtFixedRate(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        mTimer.scheduleAtFixedRate(this::beat, BEAT_MS, BEAT_MS, TimeUnit.MILLISECONDS);
    }

    /** Adds a machine to a pool. */
    public synchronized void addMachine(String name, String zone, String pool, long cpu)
            throws IOException {
        Machine machine = new Machine(name, zone, pool, cpu);
        mMachines.put(name, machine);
        startLife(machine);
    }

    private void startLife(Machine machine) {
        machine.mState = "up";
        if (machine.mPool.equals(mStandby)) {
            return;
        }
        try {
            String id = String.format("i-%010x", 0x7f3a91c200L + ++mLives);
            machine.mMinion = new Minion(id, machine.mCpu, mThreads, mRecorder, mDone);
            mRecorder.line("%s: begins on %s in pool %s", id, machine.mName, machine.mPool);
            register(machine);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void endLife(Machine machine) {
        if (machine.mMinion != null) {
            machine.mMinion.close();
            mStore.put("keyed.servers", machine.mMinion.id(), "");
            machine.mMinion = null;
        }
    }

    private void register(Machine machine) {
        ObjectNode entry =
                Server.JSON
                        .createObjectNode()
                        .put("service", machine.mPool)
                        .put("address", machine.mMinion.address())
                        .put("zone", machine.mZone)
                        .put("version", "v1")
                        .put("slots", 8)
                        .put("state", "ready")
                        .put("coldLeftMs", 0)
                        .put("clockMs", machine.mMinion.clockMs())
                        .put("seq", ++machine.mSequence);
        describe(machine, entry);
        mStore.put("keyed.servers", machine.mMinion.id(), entry.toString());
    }

    private static void describe(Machine machine, ObjectNode entry) {
        entry.putArray("labels").add("a").add("r1-" + machine.mZone);
        entry.putObject("capacity")
                .put("cpu", machine.mCpu)
                .put("memMb", MEMORY_MB)
                .put("gpu", 0);
    }

    private synchronized void tick() {
        mMachines.values().stream()
                .filter(m -> m.mMinion != null)
                .forEach(m -> m.mMinion.tick());
    }

    private synchronized void beat() {
        mMachines.values().stream().filter(m -> m.mMinion != null).forEach(this::register);
    }

    /** Writes a configuration with one queue for each service but the standby pool. */
    public synchronized void configure(List<String> services, String standby) {
        mStandby = standby;
        ObjectNode config = Server.JSON.createObjectNode().put("version", ++mVersion);
        ArrayNode routes = config.putArray("routes");
        ArrayNode list = config.putArray("services");
        for (String service : services) {
            routes.addObject()
                    .put("name", "r-" + service)
                    .put("host", "127.0.0.1")
                    .put("pathPrefix", "/" + service + "/")
                    .put("kind", "non_idempotent")
                    .put("timeoutMs", 3000)
                    .put("sloMs", 600)
                    .put("priority", 0)
                    .put("service", service)
                    .put("maxAttempts", 3)
                    .put("stretch", 1.6);
            list.addObject().put("name", service).put("enforcesCapacity", true);
        }
        list.addObject()
                .put("name", standby)
                .put("enforcesCapacity", true)
                .put("standby", true);
        config.putObject("limits").put("maxBodyBytes", 262_144);
        mStore.put("keyed.op", "config", config.toString());
    }

    /** Lets the store lose the answers of a share of the writes, which it does 1 to 6 s later. */
    public void setLostWrites(double share) {
        mRecorder.line("store: loses the answers of %.0f%% of the writes", 100 * share);
        mStore.setLostShare(share);
    }

    /** Opens an address of the store for a node. */
    public synchronized String openStore(String node) throws IOException {
        Server server = new Server(mThreads, request -> mStore.handle(node, request));
        mServers.add(server);
        return server.address();
    }

    /** Opens an address of the service for machines. */
    public synchronized String openCloud() throws IOException {
        Server server = new Server(mThreads, this::handleCloud);
        mServers.add(server);
        return server.address();
    }

    private Answer handleCloud(Request request) throws IOException {
        if (request.path().equals("/v1/machines")) {
            return list();
        }
        JsonNode body = request.json();
        long fence = Long.parseLong(request.header("Fencing-Token"));
        String holder = request.header("Duty-Holder");
        mRecorder.line("cloud: %s orders %s %s, fence %d", holder, request.path(), body, fence);
        return carryOut(request.path(), body, fence);
    }

    private synchronized Answer list() {
        ObjectNode body = Server.JSON.createObjectNode();
        ArrayNode machines = body.putArray("machines");
        for (Machine m : mMachines.values()) {
            ObjectNode entry =
                    machines.addObject()
                            .put("machine", m.mName)
                            .put("pool", m.mPool)
                            .put("state", m.mState)
                            .put("zone", m.mZone)
                            .put("id", m.mMinion == null ? "" : m.mMinion.id());
            describe(m, entry);
        }
        return Answer.json(200, body.putNull("nextToken"));
    }

    private synchronized Answer carryOut(String path, JsonNode body, long fence) {
        Machine machine = mMachines.get(body.path("machine").asText());
        if (machine == null) {
            return Answer.empty(400);
        }
        if (fence < machine.mFence) {
            return conflict("fence");
        }
        machine.mFence = fence;
        return path.equals("/v1/machine-move")
                ? move(machine, body.path("pool").asText())
                : Answer.empty(400);
    }

    private Answer move(Machine machine, String pool) {
        if (machine.mPool.equals(pool)) {
            return Answer.json(200, "{}");
        }
        if (!machine.mState.equals("up")) {
            return conflict("busy");
        }
        endLife(machine);
        mRecorder.line("cloud: %s moves from %s to %s", machine.mName, machine.mPool, pool);
        machine.mPool = pool;
        machine.mState = "moving";
        mTimer.schedule(() -> arrive(machine), MOVE_MS, TimeUnit.MILLISECONDS);
        return Answer.json(200, "{}");
    }

    private synchronized void arrive(Machine machine) {
        startLife(machine);
    }

    private static Answer conflict(String reason) {
        return Answer.json(409, Server.JSON.createObjectNode().put("reason", reason));
    }

    /** Returns the processors in use in a pool, in thousandths of a core. */
    public synchronized long usedCpu(String pool) {
        return mMachines.values().stream()
                .filter(m -> m.mMinion != null && m.mPool.equals(pool))
                .mapToLong(m -> m.mMinion.usedCpu())
                .sum();
    }

    /** Returns the processors of a pool's minions, in thousandths of a core. */
    public synchronized long cpu(String pool) {
        return mMachines.values().stream()
                .filter(m -> m.mMinion != null && m.mPool.equals(pool))
                .mapToLong(m -> m.mCpu)
                .sum();
    }

    /** Returns how many subtasks of a job have ended as done. */
    public long done(String job) {
        return mDone.stream().filter(t -> t.startsWith(job + ".")).count();
    }

    /** Returns how many subtasks of a job are at work. */
    public synchronized long running(String job) {
        return mMachines.values().stream()
                .filter(m -> m.mMinion != null)
                .flatMap(m -> m.mMinion.running().stream())
                .filter(t -> t.startsWith(job + "."))
                .count();
    }

    @Override
    public synchronized void close() {
        mTimer.shutdownNow();
        mStore.close();
        mMachines.values().forEach(this::endLife);
        mServers.forEach(Server::close);
        mThreads.shutdownNow();
    }
}
