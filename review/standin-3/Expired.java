import com.fasterxml.jackson.databind.node.ObjectNode;

import java.util.ArrayList;
import java.util.List;

/** The store turns all calls away, and before it is back all nodes lose power. */
public final class Expired {
    private static final long STORE_DOWN_MS = 4500;
    private static final long CUT_MS = 9500;
    private static final long RECOVERY_MS = 12_000;
    private static final long STEADY_MS = 24_000;
    private static final int JOBS = 60;

    private Expired() {}

    public static void main(String[] args) throws Exception {
        World.play(args[0], Expired::play);
    }

    private static void play(World world, boolean trouble) throws Exception {
        world.putConfig(1, List.of("photo-desk"), "", 3);
        List<String> zones = List.of("lozenets", "mladost", "lyulin");
        for (int i = 0; i < 6; i++) {
            world.addMachine(
                    "m-0a3f" + i, zones.get(i % 3), "r1-" + (i / 4 + 1), "a", 64_000, "photo-desk");
        }
        world.addNodes(3, zones);
        world.awaitReady(20_000);
        Thread.sleep(2000);

        // Scheduled jobs, due after the outage, come over some seconds.
        long dueMs = System.currentTimeMillis() + 75_000;
        List<String> accepted = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("00000000000000%02x", i);
            ObjectNode job = World.job(1, 500, 1000, false);
            job.put("repeats", 1).put("startMs", dueMs).put("periodMs", 1000);
            if (world.submit("/photo-desk/" + id, job, 5)) {
                accepted.add(id);
            }
            Thread.sleep(100);
        }
        Thread.sleep(STEADY_MS - JOBS * 100);
        if (trouble) {
            world.record("the store turns all calls away");
            world.mStore.setDown(true);
            Thread.sleep(STORE_DOWN_MS - 200);
            for (World.NodeProcess n : world.mNodes) {
                world.kill(n);
            }
            Thread.sleep(200);
            world.mStore.setDown(false);
            world.record("the store is back");
            Thread.sleep(CUT_MS - 200);
            for (World.NodeProcess n : world.mNodes) {
                world.start(n);
            }
            Thread.sleep(RECOVERY_MS);
        }
        int lost = 0;
        for (String job : accepted) {
            String state = world.state(world.mNodes.get(0), "/photo-desk/" + job);
            if (state.equals("410")) {
                lost++;
                state = world.state(world.mNodes.get(1), "/photo-desk/" + job);
                world.broken(
                        "LOST: "
                                + job
                                + " was accepted, nobody has cancelled it, and it is answered 410,"
                                + " then "
                                + state);
            }
        }
        world.record(lost + " of " + accepted.size() + " accepted jobs are unknown");
    }
}
