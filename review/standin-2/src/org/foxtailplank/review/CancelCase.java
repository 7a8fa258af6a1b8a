package org.foxtailplank.review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Consumers hand in jobs with subtasks that last. A share of them leave early and cancel their jobs,
 * the others cancel theirs later. With trouble, the store loses answers meanwhile and does writes
 * late. Every cancelling is acknowledged; the subtasks of these jobs must be gone at the end.
 */
public final class CancelCase {
    private static final long KEEP_S = 300;
    private static final int JOBS = 144;
    private static final long PAUSE_MS = 83;
    private static final int WARM_UP_JOBS = 36;
    private static final double LEAVING_SHARE = 0.35;
    private static final int LEAVE_AFTER_MS = 300;
    private static final int DEADLINE_MS = 3000;
    private static final int TRIES = 5;
    private static final long STAY_MS = 2000;
    private static final long LOST_FROM_MS = 3000;
    private static final long LOST_FOR_MS = 4400;
    private static final double LOST_SHARE = 0.35;

    /** The last late write, contactMs, cancel_ms and stopMs. */
    private static final long SETTLE_MS = 6000 + 3000 + 3000 + 400;

    private static final long WATCH_MS = 3000;

    private final Deployment mDeployment;
    private final Record mRecord;
    private final Set<String> mCancelled = Collections.synchronizedSet(new TreeSet<>());

    private CancelCase(Deployment deployment, Record record) {
        mDeployment = deployment;
        mRecord = record;
    }

    public static void main(String[] args) {
        CaseRunner.run(args[0], 8, KEEP_S, (d, r, trouble) -> new CancelCase(d, r).play(trouble));
    }

    private boolean play(boolean trouble) throws InterruptedException {
        ExecutorService consumers = Executors.newCachedThreadPool();
        for (int i = 0; i < WARM_UP_JOBS; i++) {
            int number = i;
            consumers.execute(() -> handInAndCancel(number, false));
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        }
        long begin = System.nanoTime();
        for (int i = 0; i < JOBS; i++) {
            int number = WARM_UP_JOBS + i;
            long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin);
            boolean lost = ms >= LOST_FROM_MS && ms < LOST_FROM_MS + LOST_FOR_MS;
            mDeployment.store().setLostShare(trouble && lost ? LOST_SHARE : 0);
            boolean leaves = i * LEAVING_SHARE % 1 < LEAVING_SHARE;
            consumers.execute(() -> handInAndCancel(number, leaves));
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        }
        consumers.shutdown();
        if (!consumers.awaitTermination(30, TimeUnit.SECONDS)) {
            throw new IllegalStateException("not every cancelling was acknowledged in 30 s");
        }
        mRecord.say("the cancelling of " + mCancelled.size() + " jobs was acknowledged");
        TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
        Set<String> left = running();
        for (long ms = 0; ms < WATCH_MS; ms += 50) {
            left.retainAll(running());
            TimeUnit.MILLISECONDS.sleep(50);
        }
        left.forEach(id -> mRecord.line("still at work: " + id));
        mRecord.say("cancelled jobs with subtasks still at work: " + left.size());
        return left.isEmpty();
    }

    private Set<String> running() {
        Set<String> ids = new TreeSet<>();
        for (String task : mDeployment.fleet().running()) {
            ids.add(task.substring(0, task.indexOf('.')));
        }
        ids.retainAll(mCancelled);
        return ids;
    }

    private void handInAndCancel(int number, boolean leaves) {
        String id = String.format("%016x", 0xc0000 + number);
        String path = Deployment.prefix("dispatch") + id;
        String body = Deployment.job("last", 100, 1, 2, Map.of("longRunning", true));
        List<Node> nodes = new ArrayList<>(mDeployment.nodes());
        Collections.rotate(nodes, number);
        boolean accepted = false;
        for (int i = 0; i < (leaves ? 1 : TRIES) && !accepted; i++) {
            int timeoutMs = leaves ? LEAVE_AFTER_MS : DEADLINE_MS;
            accepted = ask(nodes.get(i), "POST", path, body, timeoutMs) / 100 == 2;
        }
        try {
            if (!leaves) {
                TimeUnit.MILLISECONDS.sleep(STAY_MS);
            }
            for (int i = 1; ; i++) {
                int status =
                        ask(nodes.get(i % nodes.size()), "DELETE", path, "", DEADLINE_MS);
                if (status / 100 == 2 || status == 410) {
                    mCancelled.add(id);
                    return;
                }
                TimeUnit.MILLISECONDS.sleep(200);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the status of the answer, or 0 without one. */
    private int ask(Node node, String method, String path, String body, int timeoutMs) {
        String answer;
        int status = 0;
        try (Channel channel = new Channel(node.callerPort(), timeoutMs)) {
            channel.send(method, path, body);
            status = channel.receive().status();
            answer = String.valueOf(status);
        } catch (IOException e) {
            answer = e.toString();
        }
        mRecord.line(method + " " + path + " at " + node.name() + ": " + answer);
        return status;
    }
}
