package org.foxtailplank.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.foxtailplank.request.Outcome;
import org.foxtailplank.standin.internal.backend.Slots;
import org.foxtailplank.standin.internal.fault.Fault;
import org.foxtailplank.standin.internal.fault.Faults;
import org.foxtailplank.standin.internal.http.Json;
import org.foxtailplank.standin.internal.http.Reply;
import org.foxtailplank.standin.internal.http.Request;
import org.foxtailplank.standin.internal.http.StandinServer;

/** A small backend server: runs requests in slots, sends their bodies back, remembers each run. */
public final class BackendStandin implements AutoCloseable {

    private static final String REQUEST_ID = "Foxtail-Request-Id";
    private static final String KEY = "Idempotency-Key";
    private static final String FAULT_TARGET = "requests";
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int UNAVAILABLE = 503;

    private final BackendOptions mOptions;
    private final Faults mFaults;
    private final Slots mSlots;
    private final List<Execution> mExecutions = new ArrayList<>();
    private StandinServer mServer;
    private long mLeavingSinceMs;
    private boolean mRefusing;

    private BackendStandin(BackendOptions options) {
        mOptions = options;
        mFaults = new Faults(options.seed());
        mSlots = new Slots(options.slots(), options.serviceTime(), options.seed());
    }

    /** Starts a backend server; fails when it can't listen on its address. */
    public static BackendStandin start(BackendOptions options, ClassicActorSystemProvider system)
            throws IOException {
        BackendStandin backend = new BackendStandin(options);
        backend.mServer =
                StandinServer.start(
                        system, options.address(), options.connections(), backend::handle);
        return backend;
    }

    /** The address it takes requests on. */
    public InetSocketAddress address() {
        return mServer.address();
    }

    /** What it has run so far. */
    public synchronized List<Execution> executions() {
        return List.copyOf(mExecutions);
    }

    /** Requests that run or wait for a slot. */
    public int inFlight() {
        return mSlots.inFlight();
    }

    /** Says from now on that it is leaving; still takes work. */
    public synchronized void leave() {
        if (mLeavingSinceMs == 0) {
            mLeavingSinceMs = System.currentTimeMillis();
        }
    }

    /** Refuses new work from now on; completes once everything in flight is answered. */
    public CompletionStage<Void> finish() {
        synchronized (this) {
            mRefusing = true;
        }
        return mSlots.idle();
    }

    /** Stops at once; whatever is in flight is cut off. */
    @Override
    public void close() {
        mServer.close();
    }

    private CompletionStage<Reply> handle(Request request) throws IOException {
        return switch (request.what()) {
            case "GET /health" -> done(health());
            case "GET /executions" -> done(executionsFrom((int) request.number("from", 0)));
            case "POST /leave" -> {
                leave();
                yield done(health());
            }
            case "POST /faults" -> {
                mFaults.add(Json.read(request.body(), Fault.class));
                yield done(Reply.json(ACCEPTED, health()));
            }
            case "DELETE /faults" -> {
                mFaults.clear();
                yield done(health());
            }
            default -> mFaults.around(FAULT_TARGET, f -> true, request, () -> run(request));
        };
    }

    private synchronized Reply health() {
        String state = mLeavingSinceMs == 0 ? "serving" : "leaving";
        return Reply.json(
                OK,
                new HealthDocument(
                        state, mSlots.inFlight(), mOptions.slots(), mServer.connections()));
    }

    private synchronized Reply executionsFrom(int from) {
        return Reply.json(
                OK, mExecutions.subList(Math.min(from, mExecutions.size()), mExecutions.size()));
    }

    private CompletionStage<Reply> run(Request request) {
        synchronized (this) {
            if (mRefusing) {
                return done(refusal());
            }
        }
        String id = request.header(REQUEST_ID).orElse("");
        return mSlots.run(() -> record(request, id)).thenApply(v -> answer(request, id));
    }

    private synchronized void record(Request request, String id) {
        long now = System.currentTimeMillis();
        mExecutions.add(
                new Execution(
                        id,
                        request.header(KEY).orElse(""),
                        request.http().getUri().path(),
                        EchoedAnswer.checksum(request.body()),
                        now,
                        mLeavingSinceMs == 0 ? -1 : now - mLeavingSinceMs));
    }

    private Reply answer(Request request, String id) {
        byte[] body = new EchoedAnswer(id, mOptions.name(), request.body()).encoded();
        return Reply.of(HttpResponse.create().withStatus(OK).withEntity(body));
    }

    private static Reply refusal() {
        Reply error = Reply.error(UNAVAILABLE, "this instance takes no more work");
        HttpResponse response =
                error.response()
                        .addHeader(RawHeader.create(Outcome.HEADER, Outcome.NOT_RUN.text()));
        return Reply.of(response);
    }

    private static CompletionStage<Reply> done(Reply reply) {
        return CompletableFuture.completedFuture(reply);
    }

    private record HealthDocument(String state, int inFlight, int slots, int connections) {}
}
