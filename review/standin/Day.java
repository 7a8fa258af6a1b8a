import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * A day of a small deployment: three nodes, a few pools of minions, and consumers who hand in jobs
 * and retry at other nodes. At its end all accepted jobs are asked for, as the rule LOST has it.
 */
final class Day implements AutoCloseable {
    private static final long FINISH_MS = 14_000;
    private static final long IDLE_MS = 3_000;
    private static final long ANSWERS_MS = 12_000;
    private static final int TRIES = 5;
    private static final int CONSUMERS = 50;
    private static final int NODES = 3;
    private static final long RETRY_MS = 300;
    private static final long CPU = 64_000;
    private static final long MEM_MB = 262_144;

    final Recorder mRecorder;
    final Store mStore;
    final Fleet mFleet;
    final Nodes mNodes;
    private final Advice mAdvice;
    private final Path mFolder;
    private final Random mRandom = new Random(63);
    private final Map<String, Job> mJobs = new ConcurrentHashMap<>();
    private volatile boolean mTraffic = true;

    /**
     * The deployment of a day.
     *
     * @param pools number of machines of each pool
     * @param standby the pool whose machines are off, or an empty text
     * @param advice fields of the advice of all queues, or an empty text
     */
    record Deployment(Map<String, Integer> pools, String standby, String advice) {
        /** The configuration, with a queue for each pool that isn't on standby. */
        String configuration() {
            StringBuilder routes = new StringBuilder();
            StringBuilder services = new StringBuilder();
            for (String pool : pools.keySet()) {
                boolean off = pool.equals(standby);
                services.append(services.isEmpty() ? "" : ",").append(
                        "{\"name\":\"" + pool + "-desk\",\"healthPath\":\"/health\","
                                + "\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,"
                                + "\"enforcesCapacity\":true,\"standby\":" + off + "}");
                if (!off) {
                    routes.append(routes.isEmpty() ? "" : ",").append(
                            "{\"name\":\"r-" + pool + "\",\"host\":\"" + Nodes.HOST + "\","
                                    + "\"pathPrefix\":\"/" + pool + "/\","
                                    + "\"kind\":\"non_idempotent\",\"timeoutMs\":3000,"
                                    + "\"sloMs\":600,\"priority\":0,\"service\":\"" + pool
                                    + "-desk\",\"maxAttempts\":3,\"stretch\":1.6"
                                    + (advice.isEmpty() ? "" : ",\"advice\":{" + advice + "}")
                                    + "}");
                }
            }
            return "{\"version\":7,\"routes\":[" + routes + "],\"services\":[" + services
                    + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
                    + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
        }
    }

    /**
     * A job and its body.
     *
     * @param owed its subtasks that are due before the end of the day
     * @param work what its largest subtask needs
     * @param gang whether one end stands for all of its subtasks
     */
    record Job(
            String id, String pool, String body, Set<String> owed, Fleet.Work work, boolean gang) {}

    private final Map<String, Long> mAcceptedMs = new ConcurrentHashMap<>();

    Day(Path folder, Deployment deployment) throws Exception {
        this(folder, deployment, new Advice(0, 0, 0, Set.of()));
    }

    Day(Path folder, Deployment deployment, Advice advice) throws Exception {
        mRecorder = new Recorder(folder.resolve("record.txt"));
        mAdvice = advice;
        mAdvice.setRecorder(mRecorder);
        mStore = new Store(mRecorder);
        mFleet = new Fleet(mStore, mRecorder, Set.of(deployment.standby() + "-desk"));
        mFolder = Files.createTempDirectory("review");
        mStore.put("keyed.op", "config", deployment.configuration());
        int n = 0;
        for (Map.Entry<String, Integer> pool : deployment.pools().entrySet()) {
            for (int i = 0; i < pool.getValue(); i++, n++) {
                String zone = "zone-" + n % NODES;
                mFleet.add("m-" + n, zone, "r1-" + n / 4, pool.getKey() + "-desk", CPU, MEM_MB);
            }
        }
        mNodes =
                new Nodes(
                        mFolder,
                        mRecorder,
                        NODES,
                        Http.serve(mStore),
                        Http.serve(mFleet),
                        Http.serve(mAdvice));
    }

    static boolean isTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    private String newId() {
        synchronized (mRandom) {
            return String.format("%016x", mRandom.nextLong());
        }
    }

    /** One step of a job; {@code more} holds further fields, each after a comma. */
    record Step(int count, Fleet.Work work, String more) {}

    /** A job whose steps run one after the other. */
    Job job(String pool, Step... steps) {
        return job(pool, "", steps);
    }

    /** The same; {@code schedule} holds the fields that say when it runs, with commas. */
    Job job(String pool, String schedule, Step... steps) {
        String id = newId();
        Set<String> owed = ConcurrentHashMap.newKeySet();
        StringBuilder phases = new StringBuilder();
        Fleet.Work largest = steps[0].work();
        boolean gang = false;
        for (int s = 0; s < steps.length; s++) {
            Step step = steps[s];
            mFleet.expect(id, s, step.work());
            largest = step.work().cpu() > largest.cpu() ? step.work() : largest;
            if (step.more().contains("\"gang\":true")) {
                gang = true;
                mFleet.expectGang(id, s, step.count());
            }
            for (int i = 0; i < step.count(); i++) {
                owed.add(id + ".0." + s + '.' + i);
            }
            phases.append(s > 0 ? "," : "").append(
                    "{\"count\":" + step.count() + ",\"cpu\":" + step.work().cpu()
                            + ",\"memMb\":" + step.work().memMb()
                            + ",\"estimateMs\":" + step.work().ms() + step.more()
                            + (s > 0 ? ",\"dependsOn\":[" + (s - 1) + "]}" : "}"));
        }
        if (mAdvice.isUsed()) {
            mFleet.expectTickets(id, mAdvice);
        }
        String body =
                "{\"spec\":\"work of " + id + "\"," + schedule + "\"phases\":[" + phases + "]}";
        return new Job(id, pool, body, owed, largest, gang);
    }

    /** Hands a job in, again at another node after no success; returns whether it was accepted. */
    boolean handIn(Job job) {
        mJobs.put(job.id(), job);
        String path = "/" + job.pool() + "/" + job.id();
        for (int n = 0; n < TRIES; n++) {
            Nodes.Node node = mNodes.all().get(pick());
            Nodes.Answer answer = mNodes.ask(node, "POST", path, job.body());
            mRecorder.line("sent POST " + path + " to " + node.name() + ", answered " + answer);
            mRecorder.count("POST answered " + answer.status());
            if (answer.status() / 100 == 2) {
                mAcceptedMs.put(job.id(), mRecorder.nowMs());
                return true;
            }
            pause(RETRY_MS);
        }
        return false;
    }

    private int pick() {
        synchronized (mRandom) {
            return mRandom.nextInt(NODES);
        }
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Hands jobs in until one is accepted; ends the process if that takes too long. */
    void begin(Supplier<Job> jobs) {
        for (int n = 0; n < 30; n++) {
            pause(500);
            if (handIn(jobs.get())) {
                return;
            }
        }
        giveUp("no job was accepted");
    }

    /** Ends the process as one that couldn't run its case. */
    void giveUp(String why) {
        mRecorder.line("the case couldn't run: " + why);
        close();
        System.exit(2);
    }

    void handInLater(Job job) {
        Thread t = new Thread(() -> handIn(job), "consumer");
        t.setDaemon(true);
        t.start();
    }

    /** Hands in a job at each interval until the end of the traffic. */
    void startTraffic(long everyMs, Supplier<Job> jobs) {
        Thread t =
                new Thread(
                        () -> {
                            while (mTraffic) {
                                handInLater(jobs.get());
                                pause(everyMs);
                            }
                        },
                        "consumers");
        t.setDaemon(true);
        t.start();
    }

    boolean isDone(Job job) {
        Set<String> done = mFleet.done(job.id());
        return job.gang() ? !done.isEmpty() : done.containsAll(job.owed());
    }

    /** Ends the traffic, waits as long as the rule says, and returns what was lost. */
    List<String> lost() {
        mTraffic = false;
        mRecorder.line("end of the traffic");
        pause(FINISH_MS);
        List<Job> accepted = new ArrayList<>();
        mJobs.values().stream().filter(j -> mAcceptedMs.containsKey(j.id())).forEach(accepted::add);
        accepted.sort(Comparator.comparingLong(j -> mAcceptedMs.get(j.id())));
        List<Job> idle = new ArrayList<>(accepted);
        idle.removeIf(this::isDone);
        mRecorder.line("jobs handed in " + mJobs.size() + ", accepted " + accepted.size()
                + ", not done " + idle.size());
        Map<String, Integer> starts = new HashMap<>();
        idle.forEach(j -> starts.put(j.id(), mFleet.starts(j.id())));
        long until = mRecorder.nowMs() + IDLE_MS;
        while (mRecorder.nowMs() < until) {
            idle.removeIf(j -> mFleet.running(j.id()) > 0 || isExcused(j));
            pause(20);
        }
        idle.removeIf(j -> mFleet.starts(j.id()) > starts.get(j.id()));
        List<String> lost = new ArrayList<>();
        for (Job j : idle) {
            lost.add("job " + j.id() + " of " + j.pool() + ", accepted at "
                    + mAcceptedMs.get(j.id()) / 1000.0 + " s: nothing of it runs for " + IDLE_MS
                    + " ms, " + mFleet.done(j.id()).size() + " of " + j.owed().size()
                    + " subtasks done, there is room twice over, and under half is in use");
        }
        lost.addAll(unknown(accepted));
        return lost;
    }

    /** Whether the rule excuses that a job doesn't run now. */
    private boolean isExcused(Job job) {
        String pool = job.pool() + "-desk";
        long[] load = mFleet.load(pool);
        return 2 * load[1] >= load[0] || !mFleet.hasRoomTwice(pool, mAdvice.machines(), job.work());
    }

    /** Asks for accepted jobs; one is lost if it is said not to exist or gets no answer. */
    private List<String> unknown(List<Job> accepted) {
        List<String> unknown = new ArrayList<>();
        Map<String, Integer> states = new TreeMap<>();
        long until = mRecorder.nowMs() + ANSWERS_MS;
        ExecutorService consumers = Executors.newFixedThreadPool(CONSUMERS);
        for (Job j : accepted) {
            consumers.execute(
                    () -> {
                        Nodes.Answer answer = ask(j, until);
                        boolean wrong =
                                answer.status() != 200
                                        || answer.body().contains("failed")
                                        || answer.body().contains("cancelled")
                                        || answer.body().contains("completed") && !isDone(j);
                        synchronized (states) {
                            states.merge(answer.toString(), 1, Integer::sum);
                            if (wrong) {
                                unknown.add("job " + j.id() + ": GET answered " + answer);
                            }
                        }
                    });
        }
        consumers.shutdown();
        try {
            consumers.awaitTermination(2 * ANSWERS_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        mRecorder.line("states at the end " + states);
        return unknown;
    }

    private Nodes.Answer ask(Job job, long untilMs) {
        Nodes.Answer answer = new Nodes.Answer(0, "");
        for (int n = 0; n < TRIES && (n == 0 || mRecorder.nowMs() < untilMs); n++) {
            Nodes.Node node = mNodes.all().get(pick());
            answer = mNodes.ask(node, "GET", "/" + job.pool() + "/" + job.id(), "");
            if (answer.status() == 200 || answer.status() == 410) {
                break;
            }
        }
        return answer;
    }

    /** Writes the result and ends with the exit status of the case. */
    void finish(String rule, List<String> broken) {
        broken.forEach(b -> mRecorder.line("BROKEN " + rule + ": " + b));
        String verdict = broken.isEmpty() ? "held" : "broken, " + broken.size() + " times";
        mRecorder.line(rule + " " + verdict);
        System.out.println(rule + " " + verdict);
        close();
        System.exit(broken.isEmpty() ? 0 : 1);
    }

    /** Runs a case; it counts as one that couldn't run if it fails unexpectedly. */
    static void run(CaseBody body) {
        try {
            body.run();
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
    }

    interface CaseBody {
        void run() throws Exception;
    }

    @Override
    public void close() {
        mNodes.close();
        mRecorder.close();
        if (System.getenv("KEEP_LOGS") != null) {
            return;
        }
        try (Stream<Path> files = Files.walk(mFolder)) {
            for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(p);
            }
        } catch (IOException e) {
            System.err.println(e);
        }
    }
}
