import java.util.ArrayList;
import java.util.List;

/** All nodes lose power twice; while power is back in between, the store turns all calls away. */
public final class PowerCuts {
    private static final long CUT_MS = 9500;
    private static final long STORE_DOWN_MS = 4500;
    private static final long RECOVERY_MS = 12_000;
    private static final long CALM_MS = 4000;
    private static final long IDLE_MS = 3000;
    private static final int JOBS = 5;

    private PowerCuts() {}

    public static void main(String[] args) throws Exception {
        World.play(args[0], PowerCuts::play);
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
        submit(world, "00000000000000a");
        Thread.sleep(6000);
        if (trouble) {
            cut(world);
            Thread.sleep(CUT_MS - 200);
            long downMs = World.now();
            world.mStore.setDown(true);
            world.record("the store turns all calls away");
            Thread.sleep(200);
            power(world);
            Thread.sleep(STORE_DOWN_MS - 300 - (World.now() - downMs));
            cut(world);
            long cutMs = World.now();
            Thread.sleep(Math.max(0, STORE_DOWN_MS - (World.now() - downMs)));
            world.mStore.setDown(false);
            world.record("the store is back after " + (World.now() - downMs) + " ms");
            Thread.sleep(CUT_MS - (World.now() - cutMs));
            power(world);
            world.record("power stays from now on");
            Thread.sleep(RECOVERY_MS + 1000);
        }

        // The new jobs come more than recoveryS after the machines are back.
        List<String> accepted = submit(world, "00000000000000b");
        if (accepted.isEmpty()) {
            world.broken(
                    "RECOVER: no job is accepted "
                            + RECOVERY_MS
                            + " ms after the machines are back");
        }
        Thread.sleep(CALM_MS + IDLE_MS);
        for (String job : accepted) {
            if (world.startsOf(job) == 0) {
                world.broken(
                        "LOST: "
                                + job
                                + " was accepted over "
                                + (CALM_MS + IDLE_MS)
                                + " ms ago, all minions are free, and nothing of it runs");
            }
        }
        for (String job : accepted) {
            world.state(world.mNodes.get(0), "/photo-desk/" + job);
        }
    }

    private static void cut(World world) throws Exception {
        for (World.NodeProcess n : world.mNodes) {
            world.kill(n);
        }
    }

    private static void power(World world) throws Exception {
        for (World.NodeProcess n : world.mNodes) {
            world.start(n);
        }
    }

    private static List<String> submit(World world, String prefix) throws Exception {
        List<String> accepted = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            if (world.submit("/photo-desk/" + prefix + i, World.job(2, 500, 5000, false), 5)) {
                accepted.add(prefix + i);
            }
        }
        return accepted;
    }
}
