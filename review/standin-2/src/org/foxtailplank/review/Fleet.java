package org.foxtailplank.review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Timer;
import java.util.TimerTask;

/** The machines with their minions, and the platform's interface to move and reboot them. */
final class Fleet {
    private static final int RACK = 4;
    private static final long BACK_MS = 1500;
    private static final long HOLD_MAX_MS = 10_000;
    private static final long MEM_MB = 65_536;

    private final Store mStore;
    private final Record mRecord;
    private final long mMilliCores;
    private final List<Machine> mMachines = new ArrayList<>();
    private final HttpServer mServer;
    private final Timer mTimer = new Timer(true);
    private long mSequence;

    private static final class Machine {
        String mName;
        String mPool;
        String mZone;
        String mRack;
        String mState = "up";
        HttpServer mServer;
        volatile Minion mMinion;
        long mFence;
        int mLives;
    }

    Fleet(
            Store store,
            Record record,
            List<String> pools,
            List<String> zones,
            int perPool,
            long milliCores)
            throws IOException {
        mStore = store;
        mRecord = record;
        mMilliCores = milliCores;
        mServer = Web.serve(0, this::handle);
        for (String pool : pools) {
            for (int i = 0; i < perPool; i++) {
                add(pool, zones.get(i % zones.size()), "r-" + pool + "-" + i / RACK);
            }
        }
        mTimer.schedule(
                new TimerTask() {
                    @Override
                    public void run() {
                        report();
                    }
                },
                BACK_MS,
                BACK_MS);
    }

    private synchronized void add(String pool, String zone, String rack) throws IOException {
        Machine machine = new Machine();
        machine.mName = "m" + mMachines.size();
        machine.mPool = pool;
        machine.mZone = zone;
        machine.mRack = rack;
        machine.mServer =
                Web.serve(
                        0,
                        request -> {
                            Minion minion = machine.mMinion;
                            return minion == null ? Web.Answer.NONE : minion.handle(request);
                        });
        mMachines.add(machine);
        begin(machine);
    }

    private void end(Machine machine, String state) {
        machine.mMinion.terminate();
        machine.mMinion = null;
        machine.mState = state;
    }

    private void after(long ms, Runnable action) {
        mTimer.schedule(
                new TimerTask() {
                    @Override
                    public void run() {
                        synchronized (Fleet.this) {
                            action.run();
                        }
                    }
                },
                ms);
    }

    String address() {
        return Web.address(mServer);
    }

    /** Names of all subtasks that run. */
    synchronized List<String> running() {
        List<String> tasks = new ArrayList<>();
        for (Machine m : mMachines) {
            if (m.mMinion != null) {
                tasks.addAll(m.mMinion.running());
            }
        }
        return tasks;
    }

    private synchronized void report() {
        mMachines.stream().filter(m -> m.mMinion != null).forEach(this::register);
    }

    private void begin(Machine machine) {
        machine.mState = "up";
        String id = machine.mName + "-" + ++machine.mLives;
        machine.mMinion = new Minion(id, mMilliCores, HOLD_MAX_MS, mRecord);
        register(machine);
    }

    private void register(Machine machine) {
        ObjectNode entry =
                Web.JSON.createObjectNode()
                        .put("service", machine.mPool)
                        .put("address", Web.address(machine.mServer))
                        .put("zone", machine.mZone)
                        .put("version", "1")
                        .put("slots", 8)
                        .put("state", "ready")
                        .put("coldLeftMs", 0)
                        .put("seq", ++mSequence);
        describe(machine, entry);
        mStore.put("keyed.servers", machine.mMinion.id(), entry.toString());
    }

    private void describe(Machine machine, ObjectNode entry) {
        entry.putObject("capacity").put("cpu", mMilliCores).put("memMb", MEM_MB).put("gpu", 0);
        entry.putArray("labels").add("a").add(machine.mRack);
    }

    private synchronized Web.Answer handle(Web.Request request) throws IOException {
        return request.path().equals("/v1/machines") ? list() : act(request);
    }

    private Web.Answer list() {
        ObjectNode body = Web.JSON.createObjectNode();
        ArrayNode machines = body.putArray("machines");
        for (Machine m : mMachines) {
            ObjectNode entry =
                    machines.addObject()
                            .put("machine", m.mName)
                            .put("pool", m.mPool)
                            .put("state", m.mState)
                            .put("zone", m.mZone)
                            .put("id", m.mMinion == null ? "" : m.mMinion.id());
            describe(m, entry);
        }
        return Web.Answer.json(200, body.put("nextToken", ""));
    }

    private Web.Answer act(Web.Request request) throws IOException {
        JsonNode body = request.json();
        long fence = Long.parseLong(request.header("Fencing-Token"));
        for (Machine m : mMachines) {
            if (m.mName.equals(body.path("machine").asText())) {
                return act(m, request.path(), body, fence);
            }
        }
        return Web.Answer.empty(400);
    }

    private Web.Answer act(Machine machine, String path, JsonNode body, long fence) {
        if (fence < machine.mFence) {
            return conflict("fence");
        }
        machine.mFence = fence;
        if (!machine.mState.equals("up")) {
            return conflict("busy");
        }
        boolean move = path.endsWith("move");
        if (move && machine.mPool.equals(body.path("pool").asText())) {
            return Web.Answer.json(200, Web.JSON.createObjectNode());
        }
        mRecord.line("machine " + machine.mName + " " + body);
        mStore.put("keyed.servers", machine.mMinion.id(), "");
        end(machine, move ? "moving" : "upkeep");
        machine.mPool = move ? body.path("pool").asText() : machine.mPool;
        after(BACK_MS, () -> begin(machine));
        return Web.Answer.json(200, Web.JSON.createObjectNode());
    }

    private static Web.Answer conflict(String reason) {
        return Web.Answer.json(409, Web.JSON.createObjectNode().put("reason", reason));
    }
}
