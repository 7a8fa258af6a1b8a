package org.foxtailplank.soak;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.foxtailplank.adapter.standin.UsersStandin.Kind;
import org.foxtailplank.http.HttpCall;
import org.foxtailplank.http.HttpClient;
import org.foxtailplank.http.HttpResult;
import org.foxtailplank.soak.SoakEvent.AskedAtEnd;
import org.foxtailplank.soak.SoakEvent.CancelSent;
import org.foxtailplank.soak.SoakEvent.Cancelled;
import org.foxtailplank.soak.SoakEvent.SubmitAnswer;
import org.foxtailplank.soak.SoakEvent.Submitted;
import org.foxtailplank.soak.SoakEvent.Told;
import org.foxtailplank.soak.SoakEvent.ToldPending;

/**
 * Callers: they hand jobs in, come back with the same ID at another node, cancel, and ask where
 * jobs stand, over connections that they keep open.
 */
final class SoakCallers implements AutoCloseable {
    /** How long a caller waits for an answer, in milliseconds. */
    private static final long DEADLINE_MS = 3000;

    private static final int CONNECT_MS = 500;
    private static final int CONNECTIONS = 64;
    private static final int TRIES = 5;
    private static final long RETRY_MS = 300;
    private static final long REFUSED_RETRY_MS = 1000;
    private static final long POLL_MS = 600;
    private static final long CANCEL_AFTER_MS = 1000;
    private static final long AGAIN_AFTER_MS = 2000;

    /** Share of the callers that give a job to somebody else once it is refused. */
    private static final double ONE_TRY = 0.3;

    private static final double CANCELLED = 0.08;
    private static final double HANDED_IN_AGAIN = 0.05;
    private static final double HEAVY = 0.25;
    private static final double STANDING = 0.06;
    private static final int MOST_STANDING = 3;
    private static final long EACH_MS = 160;

    /** Share of the jobs of which a task crashes each worker that starts it. */
    private static final double CRASHING = 0.02;

    /** Share of the jobs whose tasks may run on some workers only. */
    private static final double LIMITED = 0.6;

    /** Most tasks of such a step on one worker; 0 is drawn for no limit as well. */
    private static final int MOST_PER_WORKER = 3;

    /** Sets the draw of these limits apart, so that older seeds keep their jobs. */
    private static final long PLACEMENT_SEED = 0x91ace;

    private static final long CRASHING_TASK_MS = 800;

    /** How long after the start, in milliseconds; negative: before it is answered. */
    private static final List<Long> CRASH_DELAYS_MS = List.of(-1L, 0L, 50L, 500L);

    /** Sets the draw of crashing jobs apart, so that older seeds keep their other jobs. */
    private static final long CRASH_SEED = 0xc4a5;

    /** No organisation hands in more jobs than usual. */
    static final int NO_FLOOD = -1;

    private static final long FLOOD_EACH_MS = 10;
    private static final long INVALID_KEY_MS = 100;
    private static final long ROUTE_MS = 10;

    /** Share of the jobs whose callers leave early and cancel until they have an answer. */
    private static final double LEAVING = 0.08;

    private static final long LEAVE_AFTER_MS = 300;

    /** Sets the draw of callers that leave apart in the same way. */
    private static final long LEAVE_SEED = 0x1ea;

    /** Sets the draw of keys apart in the same way. */
    private static final long KEY_SEED = 0x3e5;

    /** Time between two questions at the end, in milliseconds: a burst would measure itself. */
    private static final long ASK_EACH_MS = 2;

    private static final long PENDING_MS = 300;
    private static final Pattern PENDING = Pattern.compile("\"pending\":(\\d+)");
    private static final Pattern STATE = Pattern.compile("\"state\":\"([a-z]+)\"");

    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = (EventLoop) mGroup.next();
    private final HttpClient mClient = new HttpClient(mLoop, CONNECT_MS, CONNECTIONS);
    private final SoakSystem mSystem;
    private final SoakHistory mHistory;
    private final Random mRandom;
    private final Random mCrashRandom;
    private final Random mPlacementRandom;
    private final Random mKeyRandom;
    private final Random mLeaveRandom;
    private final RouteProbe mRouteProbe;
    private final Map<String, SoakJob> mAccepted = new HashMap<>();
    private boolean mComing;
    private boolean mOver;
    private int mStanding;
    private int mFlooding = NO_FLOOD;
    private Runnable mWhenAccepted = () -> {};

    SoakCallers(SoakSystem system, SoakHistory history, long seed) {
        mSystem = system;
        mHistory = history;
        mRandom = new Random(seed);
        mCrashRandom = new Random(seed ^ CRASH_SEED);
        mPlacementRandom = new Random(seed ^ PLACEMENT_SEED);
        mKeyRandom = new Random(seed ^ KEY_SEED);
        mLeaveRandom = new Random(seed ^ LEAVE_SEED);
        mRouteProbe = new RouteProbe(system, history, mClient, seed);
    }

    /** Jobs come from now on. */
    void come() {
        mLoop.execute(
                () -> {
                    mComing = true;
                    next();
                    askPending();
                    askWithInvalidKey();
                    askForRoute();
                });
    }

    /** No new jobs come; those that were accepted are asked for on. */
    void leave() {
        mLoop.execute(() -> mComing = false);
    }

    /** Runs once when the next job is accepted. */
    void whenAccepted(Runnable action) {
        mLoop.execute(() -> mWhenAccepted = action);
    }

    private void next() {
        if (mComing) {
            submit(draw(), mRandom.nextDouble() < ONE_TRY ? 1 : TRIES);
            if (mLeaveRandom.nextDouble() < LEAVING) {
                submitAndLeave();
            }
            later(EACH_MS / 2 + mRandom.nextInt((int) EACH_MS), this::next);
        }
    }

    /** An organisation hands in many more jobs from now on, or none does. */
    void flood(int organisation) {
        mLoop.execute(
                () -> {
                    boolean flooded = mFlooding != NO_FLOOD;
                    mFlooding = organisation;
                    if (!flooded && organisation != NO_FLOOD) {
                        addToFlood();
                    }
                });
    }

    private void addToFlood() {
        if (mComing && mFlooding != NO_FLOOD) {
            String id = String.format("%016x", mKeyRandom.nextLong());
            if (SoakOrganisations.of(id).equals(SoakOrganisations.name(mFlooding))) {
                submit(new SoakJob(id, "quick", List.of(3, 2), 250, 1000, false), 1);
            }
            later(FLOOD_EACH_MS, this::addToFlood);
        }
    }

    /** Asks with a key that was revoked or never was valid, again and again. */
    private void askWithInvalidKey() {
        String pool = SoakSystem.POOLS.get(0);
        String key = mSystem.organisations().invalidKey(mKeyRandom);
        int node = mKeyRandom.nextInt(mSystem.nodes().size());
        send(node, key, HttpCall.get('/' + pool + '/'), r -> {});
        later(INVALID_KEY_MS, this::askWithInvalidKey);
    }

    private void askForRoute() {
        mRouteProbe.send();
        later(ROUTE_MS, this::askForRoute);
    }

    /** Asks a node how many jobs of a queue wait, again and again. */
    private void askPending() {
        int node = anyNode();
        String pool = SoakSystem.POOLS.get(mRandom.nextInt(2));
        String key = mSystem.organisations().validKey(SoakOrganisations.name(0));
        send(
                node,
                key,
                HttpCall.get('/' + pool + '/'),
                result -> {
                    Matcher pending = PENDING.matcher(body(result));
                    if (pending.find()) {
                        int count = Integer.parseInt(pending.group(1));
                        mHistory.add(t -> new ToldPending(t, pool, node, count));
                    }
                });
        later(PENDING_MS, this::askPending);
    }

    private void later(long ms, Runnable action) {
        mLoop.schedule(
                () -> {
                    if (!mOver) {
                        action.run();
                    }
                },
                ms,
                TimeUnit.MILLISECONDS);
    }

    private SoakJob draw() {
        SoakJob job = drawAnywhere();
        boolean limited = mPlacementRandom.nextDouble() < LIMITED;
        int kind = mPlacementRandom.nextInt(Kind.values().length);
        int maxPerWorker = mPlacementRandom.nextInt(MOST_PER_WORKER + 1);
        return limited && !job.standing() && job.crashDelayMs().isEmpty()
                ? job.with(
                        new SoakJob.Placement(
                                Optional.of(Kind.values()[kind].label()), maxPerWorker))
                : job;
    }

    private SoakJob drawAnywhere() {
        if (mCrashRandom.nextDouble() < CRASHING) {
            return crashingJob();
        }
        String id = String.format("%016x", mRandom.nextLong());
        if (mStanding < MOST_STANDING && mRandom.nextDouble() < STANDING) {
            mStanding++;
            return new SoakJob(id, "quick", List.of(4), 0, 1000, true);
        }
        return mRandom.nextDouble() < HEAVY
                ? new SoakJob(id, "heavy", List.of(4, 4), 700, 2000, false)
                : new SoakJob(id, "quick", List.of(3, 2), 250, 1000, false);
    }

    private SoakJob crashingJob() {
        long delayMs = CRASH_DELAYS_MS.get(mCrashRandom.nextInt(CRASH_DELAYS_MS.size()));
        return new SoakJob(
                String.format("%016x", mCrashRandom.nextLong()),
                "quick",
                List.of(3),
                CRASHING_TASK_MS,
                1000,
                false,
                Optional.of(delayMs),
                SoakJob.Placement.ANYWHERE);
    }

    private int anyNode() {
        return mRandom.nextInt(mSystem.nodes().size());
    }

    private void submit(SoakJob job, int tries) {
        int node = anyNode();
        mHistory.add(t -> new Submitted(t, job, node));
        byte[] body = job.body().getBytes(StandardCharsets.UTF_8);
        send(
                node,
                job,
                HttpCall.postJson(job.path(), body),
                result -> {
                    int status = status(result);
                    SubmitAnswer answer =
                            new SubmitAnswer(mHistory.nowMs(), job.id(), node, status);
                    mHistory.add(t -> answer);
                    answered(job, answer, tries - 1);
                });
    }

    /** Hands a standing job in, waits for a short time only, and cancels the job. */
    private void submitAndLeave() {
        String id = String.format("%016x", mLeaveRandom.nextLong());
        SoakJob job = new SoakJob(id, "quick", List.of(1), 0, 1000, true);
        int nodes = mSystem.nodes().size();
        int node = mLeaveRandom.nextInt(nodes);
        mHistory.add(t -> new Submitted(t, job, node));
        HttpCall call = HttpCall.postJson(job.path(), job.body().getBytes(StandardCharsets.UTF_8));
        send(
                node,
                mSystem.organisations().validKey(job.organisation()),
                call,
                LEAVE_AFTER_MS,
                result -> {
                    mHistory.add(t -> new CancelSent(t, id));
                    cancelUntilTold(job, true);
                });
    }

    private void answered(SoakJob job, SubmitAnswer answer, int tries) {
        if (answer.isAccepted()) {
            accepted(job);
        } else if (tries > 0) {
            long pause = answer.isRefused() ? REFUSED_RETRY_MS : RETRY_MS;
            later(pause, () -> submit(job, tries));
        }
    }

    private void accepted(SoakJob job) {
        if (mAccepted.putIfAbsent(job.id(), job) != null) {
            return;
        }
        mWhenAccepted.run();
        mWhenAccepted = () -> {};
        later(POLL_MS, () -> poll(job));
        if (mRandom.nextDouble() < CANCELLED) {
            later(CANCEL_AFTER_MS, () -> cancel(job));
        } else if (mRandom.nextDouble() < HANDED_IN_AGAIN) {
            later(AGAIN_AFTER_MS, () -> submit(job, 1));
        }
    }

    private void poll(SoakJob job) {
        int node = anyNode();
        ask(
                job,
                node,
                (status, state) -> {
                    if (!state.isEmpty()) {
                        mHistory.add(t -> new Told(t, job.id(), node, state));
                    }
                    boolean ended = List.of("completed", "failed", "cancelled").contains(state);
                    if (!ended) {
                        later(POLL_MS, () -> poll(job));
                    }
                });
    }

    /** Takes the status of an answer, 0 for none, and the state that it tells. */
    private interface Asked {
        void told(int status, String state);
    }

    private void ask(SoakJob job, int node, Asked then) {
        send(
                node,
                job,
                HttpCall.get(job.path()),
                result -> {
                    int status = status(result);
                    then.told(status, status == 410 ? "410" : state(result));
                });
    }

    private void cancel(SoakJob job) {
        mHistory.add(t -> new CancelSent(t, job.id()));
        cancelUntilTold(job, false);
    }

    /** Cancels a job until it is acknowledged; for an unknown job 410 is an acknowledgement. */
    private void cancelUntilTold(SoakJob job, boolean mayBeUnknown) {
        HttpCall call = new HttpCall("DELETE", job.path(), Map.of(), new byte[0], "");
        send(
                anyNode(),
                job,
                call,
                result -> {
                    int status = status(result);
                    if (status / 100 == 2 || mayBeUnknown && status == 410) {
                        mHistory.add(t -> new Cancelled(t, job.id()));
                    } else {
                        later(RETRY_MS, () -> cancelUntilTold(job, mayBeUnknown));
                    }
                });
    }

    private void send(int node, SoakJob job, HttpCall call, Consumer<HttpResult> callback) {
        String key = mSystem.organisations().validKey(job.organisation());
        send(node, key, call, callback);
    }

    private void send(int node, String key, HttpCall call, Consumer<HttpResult> callback) {
        send(node, key, call, DEADLINE_MS, callback);
    }

    private void send(
            int node, String key, HttpCall call, long waitMs, Consumer<HttpResult> callback) {
        Map<String, String> headers =
                Map.of(
                        "Host",
                        SoakSystem.HOST,
                        "Deadline-Ms",
                        Long.toString(DEADLINE_MS),
                        "Key",
                        key);
        long sentMs = mHistory.nowMs();
        mClient.call(
                mSystem.nodes().get(node).callers(),
                call.with(headers),
                waitMs,
                result -> {
                    int status = status(result);
                    mHistory.add(t -> new SoakEvent.KeyAnswered(t, key, sentMs, node, status));
                    callback.accept(result);
                });
    }

    private static int status(HttpResult result) {
        return result instanceof HttpResult.Answered a ? a.status() : 0;
    }

    /** The text of an answer; empty if there is none. */
    private static String body(HttpResult result) {
        return result instanceof HttpResult.Answered a
                ? new String(a.body(), StandardCharsets.UTF_8)
                : "";
    }

    private static String state(HttpResult result) {
        Matcher state = STATE.matcher(body(result));
        return state.find() ? state.group(1) : "";
    }

    /** Asks every node that runs for every accepted job; completes when all are answered. */
    CompletableFuture<Integer> askAll() {
        CompletableFuture<Integer> done = new CompletableFuture<>();
        mLoop.execute(
                () -> {
                    List<Integer> nodes = new ArrayList<>();
                    for (int n = 0; n < mSystem.nodes().size(); n++) {
                        if (mSystem.nodes().get(n).isRunning()) {
                            nodes.add(n);
                        }
                    }
                    askInTurn(nodes, List.copyOf(mAccepted.values()), done);
                });
        return done;
    }

    private void askInTurn(
            List<Integer> nodes, List<SoakJob> jobs, CompletableFuture<Integer> done) {
        int[] left = {nodes.size() * jobs.size()};
        if (left[0] == 0) {
            done.complete(0);
            return;
        }
        IntConsumer answered =
                count -> {
                    left[0] -= count;
                    if (left[0] == 0) {
                        done.complete(nodes.size() * jobs.size());
                    }
                };
        long asked = 0;
        for (SoakJob job : jobs) {
            for (int n : nodes) {
                later(asked++ * ASK_EACH_MS, () -> askAtEnd(job, n, answered));
            }
        }
    }

    private void askAtEnd(SoakJob job, int node, IntConsumer answered) {
        ask(
                job,
                node,
                (status, state) -> {
                    mHistory.add(t -> new AskedAtEnd(t, job.id(), node, status, state));
                    answered.accept(1);
                });
    }

    @Override
    public void close() {
        mOver = true;
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
