package review.standin;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Hands in small jobs on two queues, and one job of a single subtask that is due once a minute for
 * a year: with TROUBLE=0 eight times. Processes that end are started again, as the platform does.
 *
 * <p>The checks are Fault (processes of two nodes at least end by themselves three times) and LOST:
 * {@code finish_s} after the end of the traffic each accepted job has to be known and answered for
 * in time, and none may have nothing running for 3 s while there is room.
 */
public final class RepeatedJobCase {
    private static final String PHOTO = "photo";
    private static final String LEVELS = "levels";
    private static final int MACHINES = 6;
    private static final long MACHINE_CPU = 64_000;
    private static final int NODES = 3;
    private static final int SECONDS = 14;
    private static final int TIMED_AT_S = 4;
    private static final long SMALL_CPU = 3500;
    private static final int MINUTES_A_YEAR = 525_600;
    private static final int FEW_TIMES = 8;
    private static final String TIMED_JOB = "5c0e7a2100001000";
    private static final long FINISH_MS = 14_000;
    private static final long WATCH_MS = 4000;
    private static final long RESTART_DELAY_MS = 500;
    private static final int FAULTY_ENDS = 3;

    /** An end this soon after a start doesn't count. */
    private static final long START_MS = 1000;

    private final Recorder mRecorder;
    private final Platform mPlatform;
    private final Nodes mNodes;
    private final Map<String, Integer> mOwnEnds = new HashMap<>();
    private volatile boolean mWatching = true;

    private RepeatedJobCase(Recorder recorder, Platform platform, Nodes nodes) {
        mRecorder = recorder;
        mPlatform = platform;
        mNodes = nodes;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Recorder recorder = new Recorder(Path.of(args[0]));
                Platform platform = new Platform(recorder);
                Nodes nodes = new Nodes(platform, recorder)) {
            exit = new RepeatedJobCase(recorder, platform, nodes).run(trouble) ? 0 : 1;
            recorder.line("exit status %d", exit);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private boolean run(boolean trouble) throws Exception {
        mPlatform.configure(List.of(PHOTO, LEVELS), "admin");
        for (int i = 0; i < MACHINES; i++) {
            mPlatform.addMachine("m-photo-" + i, "zone" + i % 3, PHOTO, MACHINE_CPU);
            mPlatform.addMachine("m-levels-" + i, "zone" + i % 3, LEVELS, MACHINE_CPU);
        }
        for (int i = 0; i < NODES; i++) {
            mNodes.add("edge-" + i, "zone" + i);
        }
        mNodes.awaitReady(30_000);
        Thread.sleep(2000);
        Thread keeper = new Thread(this::restartEnded);
        keeper.start();
        Consumer consumer = new Consumer(mNodes, mRecorder);
        ExecutorService consumers = Executors.newCachedThreadPool();
        long startMs = mRecorder.nowMs();
        for (int s = 0; s < SECONDS; s++) {
            String service = s % 2 == 0 ? LEVELS : PHOTO;
            String id = id(s);
            consumers.execute(() -> consumer.submit(service, id, 4, SMALL_CPU, 1000, ""));
            if (s == TIMED_AT_S) {
                String times =
                        String.format(
                                ",\"repeats\":%d,\"startMs\":%d,\"periodMs\":60000",
                                trouble ? MINUTES_A_YEAR : FEW_TIMES,
                                System.currentTimeMillis() + 2000);
                consumers.execute(
                        () -> consumer.submit(PHOTO, TIMED_JOB, 1, SMALL_CPU, 1000, times));
            }
            Thread.sleep(Math.max(0, startMs + 1000L * (s + 1) - mRecorder.nowMs()));
        }
        consumers.shutdown();
        consumers.awaitTermination(15, TimeUnit.SECONDS);
        mRecorder.line("end of the traffic, %d jobs accepted", consumer.accepted().size());
        Thread.sleep(FINISH_MS);
        boolean kept =
                new LostCheck(mRecorder, mPlatform, consumer).holds(WATCH_MS, Set.of(TIMED_JOB));
        mWatching = false;
        keeper.join();
        return !isFaulty() && kept;
    }

    private static String id(int number) {
        return String.format("5c0e7a21%08x", number);
    }

    /** Starts processes again that have ended by themselves, after a short delay. */
    private void restartEnded() {
        try {
            while (mWatching) {
                for (Nodes.Node node : mNodes.all()) {
                    if (!node.isAlive()) {
                        boolean counts = node.ageMs() > START_MS;
                        mOwnEnds.merge(node.name(), counts ? 1 : 0, Integer::sum);
                        mRecorder.line("%s: process has ended by itself", node.name());
                        Thread.sleep(RESTART_DELAY_MS);
                        mNodes.start(node);
                    }
                }
                Thread.sleep(50);
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private boolean isFaulty() {
        long nodes = mOwnEnds.values().stream().filter(n -> n >= FAULTY_ENDS).count();
        mRecorder.line("check: processes that ended by themselves, by node: %s", mOwnEnds);
        if (nodes >= 2) {
            mRecorder.line("Fault: %d nodes ended by themselves three times or more", nodes);
        }
        return nodes >= 2;
    }
}
