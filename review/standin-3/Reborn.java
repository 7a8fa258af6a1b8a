import com.fasterxml.jackson.databind.node.ObjectNode;

import java.util.List;

/**
 * A minion that is partitioned from the store crashes, and starts again under the ID that it had,
 * as one of a different kind.
 */
public final class Reborn {
    private static final int MINIONS = 6;
    private static final long CUT_MS = 5000;
    private static final long DOWN_MS = 100;
    private static final int JOBS = 30;

    private Reborn() {}

    public static void main(String[] args) throws Exception {
        World.play(args[0], Reborn::play);
    }

    private static void play(World world, boolean trouble) throws Exception {
        world.mBornSent = true;
        world.putConfig(1, List.of("photo-desk"), "", 3);
        List<String> zones = List.of("lozenets", "mladost", "lyulin");
        for (int i = 0; i < MINIONS; i++) {
            String kind = i < 2 ? "b" : "a";
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
        Thread.sleep(3000);
        Thread jobs = new Thread(() -> submitAll(world));
        jobs.start();
        Thread.sleep(5000);
        if (trouble) {
            Machine machine = world.mMachines.get("m-0a3f1");
            synchronized (world) {
                machine.mCutFromStore = true;
                world.record("minion " + machine.mMinion.mId + " is partitioned from the store");
            }
            Thread.sleep(500);
            world.startAgain(machine, "a", DOWN_MS);
            Thread.sleep(CUT_MS - 500 - DOWN_MS);
            synchronized (world) {
                machine.mCutFromStore = false;
                world.record("the partition has healed");
            }
        }
        jobs.join();
        Thread.sleep(5000);
    }

    /** Hands in jobs with some tasks that need a minion of the kind b. */
    private static void submitAll(World world) {
        try {
            for (int i = 0; i < JOBS; i++) {
                String id = String.format("00000000000000%02x", i);
                world.requireLabel(id, "b");
                ObjectNode job = World.job(8, 600, 8000, false);
                ((ObjectNode) job.path("phases").get(0)).put("requirements", "b");
                world.submit("/photo-desk/" + id, job, 5);
                Thread.sleep(500);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
