import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;

import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A small deployment: real nodes as processes, and stand-ins of the platform and the minions. */
final class World {
    static final String HOST = "jobs.example";

    /** History of the store in all sheets, in seconds. */
    private static final long KEEP_S = 20;

    private static final long MAX_MS = 112_000;
    private static final long CHECK_IN_MS = 1500;
    private static final long ENTRY_TTL_MS = 3 * CHECK_IN_MS;
    private static final long UPKEEP_MS = 2000;
    private static final long MOVE_MS = 1500;

    private final long mStartMs = now();
    private final PrintWriter mRecord;
    private final Path mFolder;
    final Store mStore;
    private final HttpServer mStoreServer;
    private final HttpServer mCloudServer;
    private final HttpServer mAdviceServer;
    final Map<String, Machine> mMachines = new LinkedHashMap<>();
    private final Map<String, Long> mEntryMs = new HashMap<>();
    private final Map<String, Minion> mLastMinion = new HashMap<>();
    final List<NodeProcess> mNodes = new ArrayList<>();
    final Map<String, List<String>> mStarts = new TreeMap<>();
    final Map<String, List<String>> mEnds = new TreeMap<>();
    private final Map<String, String> mRequired = new HashMap<>();
    private final Map<Long, Integer> mCaps = new HashMap<>();
    final List<String> mBroken = new ArrayList<>();
    private final Map<Long, List<String>> mWaves = new HashMap<>();

    /** Whether minions say when they were born; they may then start again under the ID they had. */
    volatile boolean mBornSent;

    /** Called for each accepted kind of call for an upkeep before it is carried out. */
    volatile LateCalls mLateCalls = (machine, holder, carryOut) -> false;

    volatile String mLastUpkeepHolder = "";
    volatile long mLastUpkeepMs;
    private int mNextId;
    private volatile boolean mEnding;
    private final long mKeepS;

    /** Decides which calls to the cloud get no answer and are carried out later. */
    interface LateCalls {
        /** Takes a call over; {@code carryOut} executes it as if it arrived then. */
        boolean takes(Machine machine, String holder, Runnable carryOut);
    }

    /**
     * What a run does, by the text of its job: how long it works, on how much, and whether it
     * lasts.
     */
    record Spec(long workMs, long cpu, boolean standing) {
        static Spec parse(String text) {
            String[] parts = text.split(" ");
            return new Spec(
                    Long.parseLong(parts[0]), Long.parseLong(parts[1]), parts[2].equals("lasts"));
        }
    }

    /** The part of a case that is its own. */
    interface Scenario {
        void play(World world, boolean trouble) throws Exception;
    }

    /**
     * Plays a case and ends the program: with 1 if a rule was broken, 0 if all held, and 2 if the
     * case couldn't run. Without trouble ({@code TROUBLE=0}) the disruption is left out.
     */
    static void play(String record, Scenario scenario) throws Exception {
        World world = new World(Path.of(record), KEEP_S);
        Thread watch =
                new Thread(
                        () -> {
                            try {
                                Thread.sleep(MAX_MS);
                                world.record("the case takes too long");
                                world.finish(2);
                            } catch (Exception e) {
                                Runtime.getRuntime().halt(2);
                            }
                        });
        watch.setDaemon(true);
        watch.start();
        try {
            scenario.play(world, !"0".equals(System.getenv("TROUBLE")));
        } catch (Exception | Error e) {
            world.record("the case couldn't run: " + e);
            world.finish(2);
        }
        world.finish(world.mBroken.isEmpty() ? 0 : 1);
    }

    /** One node of the system; it is started with the command of the deploy file. */
    static final class NodeProcess {
        String mName;
        String mZone;
        int mFront;
        int mReady;
        int mMetrics;
        int mPeers;
        Process mProcess;
    }

    World(Path record, long keepS) throws Exception {
        mKeepS = keepS;
        mRecord = new PrintWriter(Files.newBufferedWriter(record));
        mFolder = Files.createTempDirectory("foxtail-review-3-");
        mStore = new Store(keepS * 1000, 4);
        mStoreServer = Web.serve(0, mStore::handle);
        mCloudServer = Web.serve(0, this::handleCloud);
        mAdviceServer = Web.serve(0, call -> Web.Reply.json(429, Web.object()));
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(() -> mNodes.forEach(n -> n.mProcess.destroyForcibly())));
        Thread beats = new Thread(this::beat, "beats");
        beats.setDaemon(true);
        beats.start();
    }

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    void record(String what) {
        synchronized (mRecord) {
            mRecord.println(String.format("%8.3f s  %s", (now() - mStartMs) / 1000.0, what));
            mRecord.flush();
        }
    }

    void broken(String what) {
        record("BROKEN: " + what);
        synchronized (mBroken) {
            mBroken.add(what);
        }
    }

    // ---- machines and minions

    synchronized Machine addMachine(
            String name, String zone, String rack, String kind, long cpu, String pool)
            throws Exception {
        Machine machine = new Machine(name, zone, rack, kind, cpu, pool);
        mMachines.put(name, machine);
        boot(machine);
        return machine;
    }

    /** Starts the next life of a machine, which registers itself at once. */
    synchronized Minion boot(Machine machine) throws Exception {
        return boot(machine, String.format("i-%06x", 0x7f0000 + 7 * ++mNextId), 0);
    }

    /** The same under a given ID and at a given port; 0 for any. */
    synchronized Minion boot(Machine machine, String id, int port) throws Exception {
        Minion minion = new Minion(this, machine, id);
        minion.start(port);
        machine.mMinion = minion;
        machine.mState = "up";
        register(minion);
        return minion;
    }

    private void register(Minion minion) {
        if (minion.mMachine.mCutFromStore) {
            return;
        }
        if (!mStore.isDown()) {
            mStore.put("keyed.servers", minion.mId, minion.entry());
        }
        mEntryMs.put(minion.mId, now());
        mLastMinion.put(minion.mId, minion);
    }

    synchronized void crash(Machine machine, String why) {
        machine.mMinion.crash(why);
        machine.mMinion = null;
        machine.mState = "down";
    }

    /** Starts a minion again at once under the ID that it had; its machine stays up. */
    synchronized void startAgain(Machine machine, String kind, long downMs) throws Exception {
        Minion former = machine.mMinion;
        int port = former.port();
        former.crash("it crashes");
        Thread.sleep(downMs);
        machine.mKind = kind;
        boot(machine, former.mId, port);
    }

    private void beat() {
        long lastMs = 0;
        while (!mEnding) {
            try {
                Thread.sleep(20);
                synchronized (this) {
                    for (Machine m : mMachines.values()) {
                        if (m.mMinion != null) {
                            m.mMinion.advance();
                        }
                    }
                    if (now() - lastMs >= CHECK_IN_MS) {
                        lastMs = now();
                        for (Machine m : mMachines.values()) {
                            if (m.mMinion != null) {
                                register(m.mMinion);
                            }
                        }
                    }
                    for (String id : List.copyOf(mEntryMs.keySet())) {
                        boolean silent = now() - mEntryMs.get(id) > ENTRY_TTL_MS;
                        if (silent && !mStore.isDown()) {
                            mEntryMs.remove(id);
                            mStore.put("keyed.servers", id, "");
                        }
                    }
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Demands that no task of a job starts on a minion without a label. */
    void requireLabel(String job, String label) {
        synchronized (mStarts) {
            mRequired.put(job, label);
        }
    }

    void started(Minion minion, String task, int attempt) {
        synchronized (mStarts) {
            String label = mRequired.get(task.substring(0, task.indexOf('.')));
            if (label != null && !label.equals(minion.kind())) {
                broken(
                        "ROUTE: "
                                + task
                                + ", which requires the label "
                                + label
                                + ", starts on minion "
                                + minion.mId
                                + " of the kind "
                                + minion.kind());
            }
        }
        synchronized (mStarts) {
            mStarts.computeIfAbsent(task, t -> new ArrayList<>()).add(minion.mMachine.mName);
        }
    }

    void ended(String task, int attempt, String how) {
        synchronized (mEnds) {
            mEnds.computeIfAbsent(task, t -> new ArrayList<>()).add(how);
        }
    }

    int startsOf(String job) {
        synchronized (mStarts) {
            return mStarts.entrySet().stream()
                    .filter(e -> e.getKey().startsWith(job))
                    .mapToInt(e -> e.getValue().size())
                    .sum();
        }
    }

    long endsOf(String job, String how) {
        synchronized (mEnds) {
            return mEnds.entrySet().stream()
                    .filter(e -> e.getKey().startsWith(job))
                    .flatMap(e -> e.getValue().stream())
                    .filter(how::equals)
                    .count();
        }
    }

    // ---- cloud

    private Web.Reply handleCloud(Web.Call call) throws Exception {
        if (call.path().equals("/v1/machines")) {
            return list();
        }
        JsonNode body = call.json();
        Machine called = mMachines.get(body.path("machine").asText());
        if (called == null) {
            return Web.Reply.json(400, Web.object());
        }
        String holder = call.header("Duty-Holder");
        long fence = Long.parseLong(call.header("Fencing-Token"));
        if (call.path().equals("/v1/machine-upkeep")
                && mLateCalls.takes(
                        called, holder, () -> carryOut(call.path(), body, holder, fence))) {
            record(
                    "cloud: "
                            + call.path()
                            + " "
                            + body
                            + " from "
                            + holder
                            + " fence "
                            + fence
                            + " gets no answer");
            Thread.sleep(15_000);
            return null;
        }
        return carryOut(call.path(), body, holder, fence);
    }

    private Web.Reply carryOut(String path, JsonNode body, String holder, long fence) {
        synchronized (this) {
            Machine machine = mMachines.get(body.path("machine").asText());
            String what = path + " " + body + " from " + holder + " fence " + fence;
            if (fence < machine.mFence) {
                record("cloud: " + what + " -> 409 fence");
                return Web.Reply.json(409, Web.object().put("reason", "fence"));
            }
            machine.mFence = fence;
            return path.equals("/v1/machine-move")
                    ? move(machine, body.path("pool").asText(), what)
                    : upkeep(machine, body.path("wave").asLong(), holder, what);
        }
    }

    private synchronized Web.Reply list() {
        ObjectNode body = Web.object();
        ArrayNode machines = body.putArray("machines");
        for (Machine m : mMachines.values()) {
            ObjectNode entry = machines.addObject();
            entry.put("machine", m.mName)
                    .put("pool", m.mPool)
                    .put("state", m.mState)
                    .put("zone", m.mZone);
            entry.putArray("labels").add(m.mKind).add(m.mRack);
            entry.putObject("capacity").put("cpu", m.mCpu).put("memMb", 65536).put("gpu", 0);
            if (m.mMinion == null) {
                entry.putNull("id");
            } else {
                entry.put("id", m.mMinion.mId);
            }
        }
        body.putNull("nextToken");
        return Web.Reply.json(200, body);
    }

    private Web.Reply busy(String what) {
        record("cloud: " + what + " -> 409 busy");
        return Web.Reply.json(409, Web.object().put("reason", "busy"));
    }

    private Web.Reply move(Machine machine, String pool, String what) {
        if (machine.mPool.equals(pool)) {
            return Web.Reply.json(200, Web.object());
        }
        if (!machine.mState.equals("up")) {
            return busy(what);
        }
        record("cloud: " + what + " -> 200");
        end(machine, "moving", "moved");
        machine.mPool = pool;
        later(machine, MOVE_MS);
        return Web.Reply.json(200, Web.object());
    }

    private Web.Reply upkeep(Machine machine, long wave, String holder, String what) {
        if (!mWaves.getOrDefault(wave, List.of()).contains(machine.mName)) {
            return Web.Reply.json(409, Web.object().put("reason", "wave"));
        }
        if (machine.mUpkeepWave == wave) {
            return Web.Reply.json(200, Web.object());
        }
        if (!machine.mState.equals("up")) {
            return busy(what);
        }
        List<String> down = new ArrayList<>();
        for (String name : mWaves.get(wave)) {
            if (mMachines.get(name).mState.equals("upkeep")) {
                down.add(name);
            }
        }
        record("cloud: " + what + " -> 200, in upkeep of this wave before: " + down);
        if (down.size() >= mCaps.get(wave)) {
            broken(
                    "LIMIT: the upkeep of "
                            + machine.mName
                            + " begins while "
                            + down
                            + " are down for theirs, cap "
                            + mCaps.get(wave));
        }
        machine.mUpkeepWave = wave;
        mLastUpkeepHolder = holder;
        mLastUpkeepMs = now();
        end(machine, "upkeep", "upkeep");
        later(machine, UPKEEP_MS);
        return Web.Reply.json(200, Web.object());
    }

    private void end(Machine machine, String state, String why) {
        machine.mMinion.crash(why);
        Minion minion = machine.mMinion;
        machine.mMinion = null;
        machine.mState = state;
        mEntryMs.remove(minion.mId);
        mStore.put("keyed.servers", minion.mId, "");
    }

    private void later(Machine machine, long ms) {
        Thread boots =
                new Thread(
                        () -> {
                            try {
                                Thread.sleep(ms);
                                boot(machine);
                            } catch (Exception e) {
                                e.printStackTrace();
                            }
                        });
        boots.setDaemon(true);
        boots.start();
    }

    // ---- operator

    void putConfig(long version, List<String> services, String standby, int maxAttempts) {
        ObjectNode config = Web.object().put("version", version);
        ArrayNode routes = config.putArray("routes");
        ArrayNode list = config.putArray("services");
        for (String s : services) {
            if (!s.equals(standby)) {
                routes.addObject()
                        .put("name", "r-" + s)
                        .put("host", HOST)
                        .put("pathPrefix", "/" + s + "/")
                        .put("kind", "non_idempotent")
                        .put("timeoutMs", 3000)
                        .put("sloMs", 600)
                        .put("priority", 0)
                        .put("service", s)
                        .put("maxAttempts", maxAttempts)
                        .put("stretch", 1.6);
            }
            list.addObject()
                    .put("name", s)
                    .put("healthPath", "/health")
                    .put("maxConns", 64)
                    .put("protocol", "h1")
                    .put("tls", false)
                    .put("enforcesCapacity", true)
                    .put("standby", s.equals(standby));
        }
        config.putObject("limits")
                .put("maxHeaderBytes", 16384)
                .put("maxBodyBytes", 262144)
                .put("headerTimeoutMs", 3000)
                .put("idleTimeoutMs", 15000);
        mStore.put("keyed.op", "config", config.toString());
    }

    void putWave(long wave, List<String> machines, int durationS, int cap) {
        mWaves.put(wave, machines);
        mCaps.put(wave, cap);
        ObjectNode body = Web.object().put("wave", wave);
        ArrayNode list = body.putArray("machines");
        machines.forEach(list::add);
        body.put("durationS", durationS).put("cap", cap);
        record("operator: wave " + body);
        mStore.put("keyed.op", "wave/" + wave, body.toString());
    }

    // ---- nodes

    /** Adds nodes, one after the other in each zone, and starts them. */
    void addNodes(int count, List<String> zones) throws Exception {
        List<Integer> ports = Web.freePorts(4 * count);
        for (int i = 0; i < count; i++) {
            NodeProcess node = new NodeProcess();
            node.mZone = zones.get(i % zones.size());
            node.mName = "edge-" + node.mZone + "-" + (i / zones.size() + 1);
            node.mFront = ports.get(4 * i);
            node.mReady = ports.get(4 * i + 1);
            node.mMetrics = ports.get(4 * i + 2);
            node.mPeers = ports.get(4 * i + 3);
            mNodes.add(node);
            start(node);
        }
    }

    private String settings(NodeProcess n) {
        ObjectNode root = Web.object();
        root.putObject("node")
                .put("name", n.mName)
                .put("zone", n.mZone)
                .put("linkMbps", 1000.0)
                .put("graceS", 6);
        root.putObject("listen")
                .put("callers", "127.0.0.1:" + n.mFront)
                .put("readiness", "127.0.0.1:" + n.mReady)
                .put("metrics", "127.0.0.1:" + n.mMetrics)
                .put("peers", "127.0.0.1:" + n.mPeers);
        ObjectNode platform = root.putObject("platform");
        platform.put("store", "127.0.0.1:" + mStoreServer.getAddress().getPort())
                .put("vms", "127.0.0.1:" + mCloudServer.getAddress().getPort())
                .put("advice", "127.0.0.1:" + mAdviceServer.getAddress().getPort())
                .put("keepS", mKeepS)
                .put("parts", 8)
                .put("recordBytes", 262144)
                .put("appendBytes", 2097152)
                .put("vmTokensChecked", true);
        ArrayNode agreements = platform.putArray("agreements").addArray();
        for (String a :
                "base drain config cost recover sched platform advice upkeep sharing".split(" ")) {
            agreements.add(a);
        }
        root.putObject("worker").put("orders", "call").put("leaseMs", 6000).put("stopMs", 200);
        root.putObject("callers");
        root.putObject("jobs").put("statusS", 120).put("earlyMs", 250);
        return root.toString();
    }

    /** Starts a node from the repository's root with the command of the deploy file. */
    void start(NodeProcess node) throws IOException {
        String run = "";
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        Path file = mFolder.resolve(node.mName + ".json");
        Files.writeString(file, settings(node));
        ProcessBuilder builder = new ProcessBuilder(Arrays.asList(run.split(" ")));
        builder.environment().put("FOXTAILPLANK_CONFIG", file.toString());
        File log = mFolder.resolve(node.mName + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        node.mProcess = builder.start();
        record("node " + node.mName + " starts, process " + node.mProcess.pid());
    }

    void kill(NodeProcess node) throws Exception {
        node.mProcess.destroyForcibly().waitFor();
        record("node " + node.mName + " is killed");
    }

    void signal(NodeProcess node, String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(node.mProcess.pid()))
                .start()
                .waitFor();
        record("node " + node.mName + " gets SIG" + signal);
    }

    /** Waits until all nodes are ready; ends the program if they aren't in time. */
    void awaitReady(long timeoutMs) throws Exception {
        long untilMs = now() + timeoutMs;
        for (NodeProcess n : mNodes) {
            while (Web.send(n.mReady, "GET", HOST, "/v1/ready", "", 1000).status() != 200) {
                if (now() > untilMs) {
                    record("node " + n.mName + " isn't ready in time");
                    finish(2);
                }
                Thread.sleep(50);
            }
        }
        record("all nodes are ready");
    }

    NodeProcess node(String name) {
        return mNodes.stream().filter(n -> n.mName.equals(name)).findFirst().orElseThrow();
    }

    /** The node that has taken ownership last, by what the nodes log. */
    NodeProcess owner() throws IOException {
        NodeProcess owner = null;
        long lastToken = 0;
        for (NodeProcess n : mNodes) {
            for (String line : Files.readAllLines(mFolder.resolve(n.mName + ".log"))) {
                if (line.contains("\"kind\":\"owner-start\"")) {
                    long token = Web.JSON.readTree(line).path("token").asLong();
                    if (token > lastToken) {
                        lastToken = token;
                        owner = n;
                    }
                }
            }
        }
        if (owner == null) {
            throw new IOException("no node has logged that it owns");
        }
        return owner;
    }

    // ---- consumers

    /** A body of a job with one step. */
    static ObjectNode job(int count, long workMs, long cpu, boolean lasts) {
        ObjectNode job =
                Web.object().put("spec", workMs + " " + cpu + (lasts ? " lasts" : " ends"));
        ObjectNode phase = job.putArray("phases").addObject();
        phase.put("count", count)
                .put("cpu", cpu)
                .put("memMb", 256)
                .put("estimateMs", Math.min(workMs, 60_000));
        if (lasts) {
            phase.put("longRunning", true);
        }
        return job;
    }

    Web.Answer call(NodeProcess node, String method, String path, String body) {
        Web.Answer answer = Web.send(node.mFront, method, HOST, path, body, 3000);
        record(
                "consumer: "
                        + method
                        + " "
                        + path
                        + " at "
                        + node.mName
                        + " -> "
                        + (answer.status() == 0
                                ? "no answer"
                                : answer.status() + " " + answer.body()));
        return answer;
    }

    /**
     * Submits a job, again after no answer and after a refusal; returns whether it was accepted.
     */
    boolean submit(String path, ObjectNode job, int attempts) throws InterruptedException {
        for (int i = 0; i < attempts; i++) {
            Web.Answer answer = call(mNodes.get(i % mNodes.size()), "POST", path, job.toString());
            if (answer.status() / 100 == 2) {
                return true;
            }
            Thread.sleep(300);
        }
        return false;
    }

    String state(NodeProcess node, String path) throws IOException {
        Web.Answer answer = call(node, "GET", path, "");
        return answer.status() == 200
                ? Web.JSON.readTree(answer.body()).path("state").asText()
                : "" + answer.status();
    }

    // ---- end

    /** Ends all processes and the program; logs of the nodes are kept only if asked for. */
    synchronized void finish(int status) throws Exception {
        mEnding = true;
        for (NodeProcess n : mNodes) {
            n.mProcess.destroyForcibly().waitFor();
        }
        record("exit " + status);
        String keep = System.getenv("KEEP_LOGS");
        try (var files = Files.list(mFolder)) {
            for (Path f : files.toList()) {
                if (keep != null) {
                    Files.copy(
                            f,
                            Path.of(keep).resolve(f.getFileName()),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
                Files.delete(f);
            }
        }
        Files.delete(mFolder);
        System.exit(status);
    }
}
