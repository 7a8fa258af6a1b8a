package org.foxtailplank.demo.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.process.ProcessException;

/** What the operator of the demo does: publishes, moves a VM, runs a wave. */
public final class Scenario {

    private static final String WHO = "demo";
    private static final String WAVE = "demo-wave";

    private final DemoSystem mSystem;
    private final AdminClient mAdmin;
    private final Promises mPromises;
    private final PrintStream mOut;

    private record Publication(
            long version, String base, Map<String, String> overlays, String who, String why) {}

    private record Move(long version, String to, String who, String why) {}

    private record Wave(String id, Set<String> zones, String who, String why) {}

    /** A scenario on a running system. */
    public Scenario(DemoSystem system, AdminClient admin, Promises promises, PrintStream out) {
        mSystem = system;
        mAdmin = admin;
        mPromises = promises;
        mOut = out;
    }

    /** Publishes base and overlays, and waits until they are in force in each process. */
    public void publish(DemoFiles files) throws ProcessException, InterruptedException {
        Map<String, String> overlays = new TreeMap<>();
        files.overlays().forEach((zone, text) -> overlays.put(zone.value(), text));
        long start = System.nanoTime();
        mAdmin.put(
                "/v1/config", new Publication(0, files.base(), overlays, WHO, "first publication"));
        long version = mAdmin.get("/v1/config").path("version").asLong();
        Patience.until(
                "configuration " + version + " at every node",
                () -> mSystem.nodes(),
                nodes -> nodes.stream().allMatch(n -> n.configurationVersion() >= version));
        long millis = (System.nanoTime() - start) / 1_000_000;
        mOut.printf(
                "published configuration %d with %d overlays; in force at all %d nodes after %d"
                        + " ms%n",
                version, overlays.size(), mSystem.nodes().size(), millis);
        mPromises.check(true, "an accepted configuration is in force everywhere", millis + " ms");
    }

    /** Waits until the controllers have seen as many VMs serving as each pool wants. */
    public void awaitFleet() throws ProcessException, InterruptedException {
        JsonNode pools =
                Patience.until(
                        "as many VMs serving as each pool wants",
                        () -> mAdmin.get("/v1/pools").path("items"),
                        Scenario::allServing);
        long serving = 0;
        for (JsonNode pool : pools) {
            serving += pool.path("serving").asLong();
        }
        mOut.printf("%d VMs in %d pools serve%n", serving, pools.size());
    }

    private static boolean allServing(JsonNode pools) {
        boolean all = !pools.isEmpty();
        for (JsonNode pool : pools) {
            all &= pool.path("serving").asLong() >= pool.path("target").asLong();
        }
        return all;
    }

    /** Moves one VM from the pool with most VMs beyond its target to another one. */
    public void moveVm() throws ProcessException, InterruptedException {
        JsonNode pools = mAdmin.get("/v1/pools").path("items");
        String from = poolWithMostSpare(pools);
        String to = anotherPool(pools, from);
        JsonNode vm = firstVmOf(from);
        String id = vm.path("id").asText();
        mAdmin.post(
                "/v1/vms/" + id + "/move",
                new Move(vm.path("version").asLong(), to, WHO, "demand has moved"));
        Patience.until(
                "VM " + id + " in pool " + to,
                () -> mAdmin.get("/v1/vms/" + id),
                v ->
                        v.path("pool").asText().equals(to)
                                && v.path("phase").asText().equals("SERVING"));
        mOut.printf("moved VM %s from pool %s to pool %s%n", id, from, to);
        checkPools();
    }

    /** Runs a maintenance wave over one zone to its end. */
    public void runWave() throws ProcessException, InterruptedException {
        String zone =
                mSystem.settings().zones().keySet().stream()
                        .map(ZoneId::value)
                        .sorted()
                        .findFirst()
                        .orElseThrow();
        long start = System.nanoTime();
        mAdmin.post("/v1/waves", new Wave(WAVE, Set.of(zone), WHO, "kernel update"));
        JsonNode wave =
                Patience.until(
                        "the end of the wave",
                        () -> mAdmin.get("/v1/waves/" + WAVE),
                        w -> w.path("phase").asText().equals("FINISHED"));
        mOut.printf(
                "wave over %s: %d of %d VMs maintained in %.1f s%n",
                zone,
                wave.path("maintained").asLong(),
                wave.path("vms").asLong(),
                (System.nanoTime() - start) / 1e9);
        mPromises.check(
                wave.path("maintained").asLong() == wave.path("vms").asLong(),
                "the maintenance wave reached every VM",
                wave.path("maintained") + " of " + wave.path("vms"));
        checkPools();
    }

    private void checkPools() throws ProcessException, InterruptedException {
        Set<String> seen = new HashSet<>();
        int twice = 0;
        for (JsonNode vm : mAdmin.get("/v1/vms?limit=1000").path("items")) {
            twice += seen.add(vm.path("id").asText()) ? 0 : 1;
        }
        int known = mSystem.settings().vms().size();
        mPromises.check(
                twice == 0 && seen.size() == known,
                "each VM belongs to exactly one pool",
                seen.size() + " of " + known + " VMs in a pool, " + twice + " in two");
    }

    private JsonNode firstVmOf(String pool) throws ProcessException, InterruptedException {
        for (JsonNode vm : mAdmin.get("/v1/vms?limit=1000").path("items")) {
            boolean serving = vm.path("phase").asText().equals("SERVING");
            if (serving && vm.path("pool").asText().equals(pool)) {
                return vm;
            }
        }
        throw ProcessException.failed("Pool " + pool + " has no VM that serves.", null);
    }

    private static String poolWithMostSpare(JsonNode pools) {
        String best = "";
        long most = Long.MIN_VALUE;
        for (JsonNode pool : pools) {
            long spare = pool.path("serving").asLong() - pool.path("target").asLong();
            if (spare > most) {
                most = spare;
                best = pool.path("id").asText();
            }
        }
        return best;
    }

    private static String anotherPool(JsonNode pools, String from) throws ProcessException {
        for (JsonNode pool : pools) {
            if (!pool.path("id").asText().equals(from)) {
                return pool.path("id").asText();
            }
        }
        throw ProcessException.failed("There is no second pool to move a VM to.", null);
    }
}
