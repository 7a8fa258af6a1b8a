package org.foxtailplank.review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A small deployment: the platform's stand-ins and the nodes, all on loopback addresses. */
final class Deployment implements AutoCloseable {
    static final List<String> SERVICES = List.of("dispatch", "warranty", "quoting", "billing");

    private static final List<String> ZONES = List.of("qc-mtl", "qc-qbc", "qc-she");
    private static final long APPEND_MS = 4;

    private final Store mStore;
    private final Fleet mFleet;
    private final List<Node> mNodes = new ArrayList<>();
    private final Record mRecord;
    private final Path mFolder;

    Deployment(int nodes, int minionsPerPool, long keepS, Path folder, Record record)
            throws IOException {
        mRecord = record;
        mFolder = folder;
        // Also when the case is interrupted, no process is left.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> mNodes.forEach(Node::close)));
        mStore = new Store(keepS * 1000, APPEND_MS);
        List<String> pools = new ArrayList<>(SERVICES);
        pools.add("misc");
        mFleet = new Fleet(mStore, record, pools, ZONES, minionsPerPool, 16_000);
        configure(1, pools);
        Path repository = Path.of("").toAbsolutePath();
        Files.createDirectories(folder);
        for (int i = 0; i < nodes; i++) {
            String zone = ZONES.get(i % ZONES.size());
            mNodes.add(new Node(i, zone, repository, folder, mStore, mFleet, keepS, record));
        }
    }

    Store store() {
        return mStore;
    }

    Fleet fleet() {
        return mFleet;
    }

    List<Node> nodes() {
        return mNodes;
    }

    private void configure(long version, List<String> pools) {
        ObjectNode config = Web.JSON.createObjectNode().put("version", version);
        ArrayNode routes = config.putArray("routes");
        for (String s : SERVICES) {
            routes.addObject()
                    .put("name", "queue-" + s)
                    .put("host", Channel.HOST)
                    .put("pathPrefix", prefix(s))
                    .put("service", s)
                    .put("priority", 0)
                    .put("maxAttempts", 4)
                    .put("stretch", 1.6)
                    .put("sloMs", 600);
        }
        ArrayNode services = config.putArray("services");
        for (String p : pools) {
            services.addObject()
                    .put("name", p)
                    .put("enforcesCapacity", true)
                    .put("standby", p.equals("misc"));
        }
        config.putObject("limits");
        mStore.put("keyed.op", "config", config.toString());
    }

    static String prefix(String service) {
        return "/" + service + "/";
    }

    /** Starts all nodes and waits until they are ready. */
    void start() throws IOException, InterruptedException {
        for (Node n : mNodes) {
            n.start();
        }
        for (Node n : mNodes) {
            awaitReady(n);
        }
    }

    void awaitReady(Node node) throws InterruptedException {
        for (int i = 0; i < 150; i++) {
            if (isReady(node)) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
        throw new IllegalStateException(node.name() + " is not ready after 15 s");
    }

    static boolean isReady(Node node) {
        try {
            return Channel.ask(node.readyPort(), "GET", "/v1/ready", "").status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** A job's body: steps that each wait for the one before. */
    static String job(String work, long cpu, int steps, int width, Map<String, Object> more) {
        ObjectNode body = Web.JSON.createObjectNode().put("spec", work + ' ' + cpu);
        ArrayNode phases = body.putArray("phases");
        for (int s = 0; s < steps; s++) {
            ObjectNode phase = phases.addObject().put("count", width).put("cpu", cpu);
            phase.put("memMb", 256);
            phase.put("estimateMs", work.equals("last") ? 700 : Long.parseLong(work));
            if (s > 0) {
                phase.putArray("dependsOn").add(s - 1);
            }
            more.forEach((name, value) -> phase.set(name, Web.JSON.valueToTree(value)));
        }
        return body.toString();
    }

    @Override
    public void close() {
        mNodes.forEach(Node::close);
        mRecord.close();
        for (File f : mFolder.toFile().listFiles()) {
            f.delete();
        }
        mFolder.toFile().delete();
    }
}
