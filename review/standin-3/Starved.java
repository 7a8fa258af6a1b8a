import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** A job needs a label that only machines have which the system has moved to the spare pool. */
public final class Starved {
    private static final String PATH = "/photo-desk/5c0e7a21d94b36f8";
    private static final long WATCH_MS = 30_000;

    private Starved() {}

    public static void main(String[] args) throws Exception {
        World.play(args[0], Starved::play);
    }

    private static void play(World world, boolean trouble) throws Exception {
        world.putConfig(1, List.of("photo-desk", "admin-desk"), "admin-desk", 3);
        List<String> zones = List.of("lozenets", "mladost", "lyulin");
        for (int i = 0; i < 6; i++) {
            String rack = "r1-" + (i / 4 + 1);
            String kind = i < 3 ? "b" : "a";
            world.addMachine("m-0a3f" + i, zones.get(i % 3), rack, kind, 64_000, "photo-desk");
        }
        for (int i = 0; i < 2; i++) {
            world.addMachine("m-141e" + i, zones.get(i), "r2-1", "a", 64_000, "admin-desk");
        }
        world.addNodes(3, zones);
        world.awaitReady(20_000);

        // Without the quiet time the pool still has its machines.
        Thread.sleep(trouble ? 12_000 : 0);
        ObjectNode job = World.job(2, 500, 5000, false);
        ((ObjectNode) job.path("phases").get(0)).put("requirements", "b");
        if (!world.submit(PATH, job, 20)) {
            world.finish(2);
        }
        long endMs = World.now() + WATCH_MS;
        for (int i = 0; World.now() < endMs && world.startsOf("5c0e7a21d94b36f8") < 2; i++) {
            String other = String.format("/photo-desk/%016x", 0x900 + i);
            world.submit(other, World.job(2, 500, 5000, false), 2);
            Thread.sleep(1000);
        }
        world.state(world.mNodes.get(0), PATH);
        if (world.startsOf("5c0e7a21d94b36f8") == 0) {
            world.broken("a job that was accepted " + WATCH_MS + " ms ago has nothing running");
        }
    }
}
