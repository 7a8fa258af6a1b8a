import com.fasterxml.jackson.databind.node.ObjectNode;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/** A call for an upkeep gets no answer and is carried out seconds later; its sender is killed. */
public final class LateUpkeep {
    private static final int MACHINES = 5;
    private static final long WORK_MS = 9000;
    private static final long MIN_LATE_MS = 2000;
    private static final long MAX_LATE_MS = 12_000;
    private static final int CAP = 1;

    private LateUpkeep() {}

    private record Late(String holder, Runnable carryOut, long atMs) {}

    public static void main(String[] args) throws Exception {
        World.play(args[0], LateUpkeep::play);
    }

    private static void play(World world, boolean trouble) throws Exception {
        world.putConfig(1, List.of("photo-desk"), "", 3);
        List<String> zones = List.of("lozenets", "mladost", "lyulin");
        List<String> names = new ArrayList<>();
        for (int i = 0; i < MACHINES; i++) {
            names.add("m-0a3f" + i);
            world.addMachine(
                    names.get(i),
                    zones.get(i % 3),
                    "r1-" + (i / 4 + 1),
                    "k" + i,
                    64_000,
                    "photo-desk");
        }
        world.addNodes(3, zones);
        world.awaitReady(20_000);
        Thread.sleep(3000);

        // One task on each machine; the one on the last machine is the smallest and ends last.
        for (int i = 0; i < MACHINES; i++) {
            boolean last = i == MACHINES - 1;
            ObjectNode job =
                    World.job(1, last ? WORK_MS : WORK_MS - 1000, last ? 10_000 : 40_000, false);
            ((ObjectNode) job.path("phases").get(0)).put("requirements", "k" + i);
            if (!world.submit("/photo-desk/5c0e7a21d94b36f" + i, job, 10)) {
                world.finish(2);
            }
        }
        Thread.sleep(WORK_MS - 5000);
        AtomicReference<Late> late = new AtomicReference<>();
        if (trouble) {
            world.mLateCalls =
                    (machine, holder, carryOut) ->
                            late.compareAndSet(null, new Late(holder, carryOut, World.now()));
        }
        world.putWave(1, names, 25, CAP);
        if (trouble) {
            for (int i = 0; late.get() == null; i++) {
                if (i > 1500) {
                    world.record("no machine was called for its upkeep");
                    world.finish(2);
                }
                Thread.sleep(10);
            }
            Late call = late.get();
            world.kill(world.node(call.holder()));
            // Carried out 2 to 12 s after it was sent, while another machine is down if one is.
            while (World.now() - call.atMs() < MIN_LATE_MS
                    || World.now() - call.atMs() < MAX_LATE_MS - 500
                            && World.now() - world.mLastUpkeepMs > 500) {
                Thread.sleep(5);
            }
            world.record(
                    "the call is carried out "
                            + (World.now() - call.atMs())
                            + " ms after it was sent");
            call.carryOut().run();
            world.start(world.node(call.holder()));
        }
        long endMs = World.now() + 40_000;
        while (World.now() < endMs
                && !world.mStore.value("keyed.status", "wave/1").contains("completed")) {
            Thread.sleep(100);
        }
        world.record("status of the wave: " + world.mStore.value("keyed.status", "wave/1"));
    }
}
