import com.fasterxml.jackson.databind.node.ObjectNode;

import java.util.List;

/**
 * The only minion that may run a task crashes three times, each time a second after the task has
 * started.
 */
public final class Crashes {
    private static final int MINIONS = 10;
    private static final long RUNNING_MS = 1000;
    private static final long DOWN_MS = 3000;
    private static final int CRASHES = 3;
    private static final long START_MS = 5000;
    private static final long WORK_MS = 3000;
    private static final long STEADY_MS = 30_000;
    private static final long WATCH_MS = 25_000;

    private Crashes() {}

    public static void main(String[] args) throws Exception {
        World.play(args[0], Crashes::play);
    }

    private static void play(World world, boolean trouble) throws Exception {
        world.putConfig(1, List.of("photo-desk"), "", 3);
        List<String> zones = List.of("lozenets", "mladost", "lyulin");
        for (int i = 0; i < MINIONS; i++) {
            String kind = i == MINIONS - 1 ? "b" : "a";
            world.addMachine(
                    "m-0a3f" + i,
                    zones.get(i % 3),
                    "r1-" + (i / 4 + 1),
                    kind,
                    64_000,
                    "photo-desk");
        }
        world.addNodes(3, zones);
        world.awaitReady(20_000);
        ObjectNode serving = World.job(MINIONS - 1, 0, 20_000, true);
        ((ObjectNode) serving.path("phases").get(0))
                .put("requirements", "a")
                .put("antiAffinity", 1);
        if (!world.submit("/photo-desk/00000000000000a1", serving, 10)) {
            world.finish(2);
        }
        Thread.sleep(STEADY_MS);

        String path = "/photo-desk/5c0e7a21d94b36f8";
        ObjectNode job = World.job(1, WORK_MS, 5000, false);
        ((ObjectNode) job.path("phases").get(0)).put("requirements", "b");
        if (!world.submit(path, job, 10)) {
            world.record("the job wasn't accepted");
            world.finish(2);
        }
        Machine machine = world.mMachines.get("m-0a3f" + (MINIONS - 1));
        for (int crash = 0; crash < (trouble ? CRASHES : 0); crash++) {
            if (!awaitStart(world, crash + 1)) {
                world.record("the task isn't started any more");
                break;
            }
            Thread.sleep(RUNNING_MS);
            world.crash(machine, "it crashes");
            Thread.sleep(DOWN_MS);
            world.boot(machine);
        }
        world.record("no minion crashes from now on");
        long endMs = World.now() + WATCH_MS;
        String state = "";
        while (World.now() < endMs && !state.equals("completed") && !state.equals("failed")) {
            Thread.sleep(500);
            state = world.state(world.mNodes.get(0), path);
        }
        long failed = world.endsOf("5c0e7a21d94b36f8", "failed");
        if (state.equals("failed") && failed < 3) {
            world.broken(
                    "LOST: the job is shown as failed; "
                            + failed
                            + " of its runs have ended failed, maxAttempts is 3");
        }
    }

    private static boolean awaitStart(World world, int starts) throws Exception {
        long untilMs = World.now() + START_MS;
        while (world.startsOf("5c0e7a21d94b36f8") < starts && World.now() < untilMs) {
            Thread.sleep(20);
        }
        return world.startsOf("5c0e7a21d94b36f8") >= starts;
    }
}
