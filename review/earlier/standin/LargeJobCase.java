package review.standin;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;

/**
 * Hands in small jobs on two queues, and 7,500 subtasks as one job: with TROUBLE=0 as 15 jobs.
 *
 * <p>The check is LOST: from {@code finish_s} after the end of the traffic each accepted job has to
 * be known and answered for in time, and none may have nothing running for 3 s while a subtask's
 * turn has come, there is capacity for it twice over and under half of the service's is in use.
 */
public final class LargeJobCase {
    private static final String PHOTO = "photo";
    private static final String LEVELS = "levels";
    private static final int MACHINES = 6;
    private static final long MACHINE_CPU = 64_000;
    private static final int SUBTASKS = 7500;
    private static final long SUBTASK_CPU = 10;
    private static final long SUBTASK_MS = 1500;
    private static final int PARTS = 15;
    private static final int SECONDS = 24;
    private static final int LARGE_AT_S = 5;
    private static final long FINISH_MS = 14_000;
    private static final long IDLE_MS = 3000;
    private static final long SMALL_CPU = 3500;

    private LargeJobCase() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Recorder recorder = new Recorder(Path.of(args[0]));
                Platform platform = new Platform(recorder);
                Nodes nodes = new Nodes(platform, recorder)) {
            exit = run(trouble, recorder, platform, nodes) ? 0 : 1;
            recorder.line("exit status %d", exit);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private static boolean run(
            boolean trouble, Recorder recorder, Platform platform, Nodes nodes) throws Exception {
        platform.configure(List.of(PHOTO, LEVELS), "admin");
        for (int i = 0; i < MACHINES; i++) {
            platform.addMachine("m-photo-" + i, "zone" + i % 3, PHOTO, MACHINE_CPU);
            platform.addMachine("m-levels-" + i, "zone" + i % 3, LEVELS, MACHINE_CPU);
        }
        for (int i = 0; i < 3; i++) {
            nodes.add("edge-" + i, "zone" + i);
        }
        nodes.awaitReady(30_000);
        Thread.sleep(2000);
        Consumer consumer = new Consumer(nodes, recorder);
        long startMs = recorder.nowMs();
        for (int s = 0; s < SECONDS; s++) {
            consumer.submit(s % 2 == 0 ? LEVELS : PHOTO, id(s), 4, SMALL_CPU, 1000);
            if (trouble && s == LARGE_AT_S) {
                consumer.submit(PHOTO, id(1000), SUBTASKS, SUBTASK_CPU, SUBTASK_MS);
            } else if (!trouble && s >= LARGE_AT_S && s < LARGE_AT_S + PARTS) {
                consumer.submit(PHOTO, id(1000 + s), SUBTASKS / PARTS, SUBTASK_CPU, SUBTASK_MS);
            }
            Thread.sleep(Math.max(0, startMs + 1000L * (s + 1) - recorder.nowMs()));
        }
        recorder.line("end of the traffic, %d jobs accepted", consumer.accepted().size());
        Thread.sleep(FINISH_MS);
        return new LostCheck(recorder, platform, consumer).holds(4 * IDLE_MS / 3, Set.of());
    }

    private static String id(int number) {
        return String.format("5c0e7a21%08x", number);
    }
}
