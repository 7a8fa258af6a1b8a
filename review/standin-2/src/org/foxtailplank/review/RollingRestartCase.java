package org.foxtailplank.review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Consumers hand in the jobs of a small deployment for a while. Then each node is stopped with
 * SIGTERM and started again, one after the other, and every accepted job is asked for.
 */
public final class RollingRestartCase {
    private static final long KEEP_S = 20;
    private static final double JOBS_PER_S = 10.5;
    private static final double TRAFFIC_S = 46;
    private static final double STANDING_FROM_S = 24;
    private static final double STANDING_UNTIL_S = 26;
    private static final long GAP_MS = 2000;
    private static final long CONTACT_MS = 3000;
    private static final int STANDING_WIDTH = 5;

    private final Deployment mDeployment;
    private final Record mRecord;
    private final Random mRandom = new Random(7);
    private final List<String> mAccepted = new ArrayList<>();
    private final Set<String> mStanding = new HashSet<>();

    private RollingRestartCase(Deployment deployment, Record record) {
        mDeployment = deployment;
        mRecord = record;
    }

    public static void main(String[] args) {
        CaseRunner.run(args[0], 8, KEEP_S, (d, r, trouble) -> new RollingRestartCase(d, r).play(trouble));
    }

    private boolean play(boolean trouble) throws IOException, InterruptedException {
        handIn();
        if (trouble) {
            restartAll();
        }
        TimeUnit.MILLISECONDS.sleep(CONTACT_MS + 1000);
        return askForAll();
    }

    private void handIn() throws InterruptedException {
        double begin = mRecord.seconds();
        int sent = 0;
        while (mRecord.seconds() - begin < TRAFFIC_S) {
            double at = mRecord.seconds() - begin;
            boolean standing =
                    at >= STANDING_FROM_S && at < STANDING_UNTIL_S && mStanding.size() < 4;
            if (standing) {
                handIn("dispatch", "last", 700, 1, STANDING_WIDTH, Map.of("longRunning", true));
            } else {
                double kind = mRandom.nextDouble() * JOBS_PER_S;
                if (kind < 4.12) {
                    handIn("dispatch", "1000", 1100, 1 + mRandom.nextInt(2), 6, Map.of());
                } else if (kind < 9.26) {
                    handIn("quoting", "1000", 1100, 1 + mRandom.nextInt(2), 6, Map.of());
                } else {
                    String service = kind < 9.85 ? "warranty" : "billing";
                    handIn(service, "2100", 2500, 2, 8, Map.of());
                }
            }
            sent++;
            double next = begin + sent / JOBS_PER_S;
            long waitMs = (long) ((next - mRecord.seconds()) * 1000);
            if (waitMs > 0) {
                TimeUnit.MILLISECONDS.sleep(waitMs);
            }
        }
        mRecord.say("accepted " + mAccepted.size() + " of " + sent + " jobs");
    }

    private void handIn(
            String service, String work, long cpu, int steps, int width, Map<String, Object> more) {
        String path = Deployment.prefix(service) + String.format("%016x", mRandom.nextLong());
        Node node = mDeployment.nodes().get(mRandom.nextInt(mDeployment.nodes().size()));
        String body = Deployment.job(work, cpu, steps, width, more);
        try {
            int status = Channel.ask(node.callerPort(), "POST", path, body).status();
            mRecord.line("POST " + path + " at " + node.name() + ": " + status);
            if (status / 100 == 2) {
                mAccepted.add(path);
                if (work.equals("last")) {
                    mStanding.add(path);
                }
            }
        } catch (IOException e) {
            mRecord.line("POST " + path + " at " + node.name() + ": " + e);
        }
    }

    /** Stops and starts the nodes in turn; the next one follows after a pause. */
    private void restartAll() throws IOException, InterruptedException {
        mRecord.say("the nodes are stopped and started in turn");
        List<Thread> restarts = new ArrayList<>();
        for (Node n : mDeployment.nodes()) {
            Thread restart =
                    new Thread(
                            () -> {
                                try {
                                    n.term();
                                    n.start();
                                } catch (IOException | InterruptedException e) {
                                    mRecord.say(n.name() + " could not be restarted: " + e);
                                }
                            });
            restart.start();
            restarts.add(restart);
            TimeUnit.MILLISECONDS.sleep(GAP_MS);
        }
        for (Thread t : restarts) {
            t.join();
        }
        for (Node n : mDeployment.nodes()) {
            mDeployment.awaitReady(n);
        }
        mRecord.say("all nodes are ready again");
    }

    private boolean askForAll() throws InterruptedException {
        int unknown = 0;
        int other = 0;
        for (String path : mAccepted) {
            Node node = mDeployment.nodes().get(mRandom.nextInt(mDeployment.nodes().size()));
            String answer;
            try {
                Channel.Answer a = Channel.ask(node.callerPort(), "GET", path, "");
                answer = a.status() + " " + a.body();
                unknown += a.status() == 410 ? 1 : 0;
                other += a.status() != 410 && a.status() != 200 ? 1 : 0;
            } catch (IOException e) {
                answer = e.toString();
                other++;
            }
            mRecord.line("GET " + path + " at " + node.name() + ": " + answer);
        }
        List<String> running = mDeployment.fleet().running();
        int working = 0;
        for (String path : mStanding) {
            String id = path.substring(path.lastIndexOf('/') + 1);
            working += (int) running.stream().filter(t -> t.startsWith(id)).count();
        }
        mRecord.say(
                "of "
                        + mAccepted.size()
                        + " accepted jobs "
                        + unknown
                        + " are answered 410, "
                        + other
                        + " otherwise than 200; "
                        + working
                        + " of "
                        + mStanding.size() * STANDING_WIDTH
                        + " subtasks that last are at work");
        return unknown == 0;
    }
}
