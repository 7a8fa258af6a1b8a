package org.foxtailplank.node.caller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.foxtailplank.http.HttpHandler;
import org.foxtailplank.http.HttpReply;
import org.foxtailplank.http.HttpRequest;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JobPhase;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.NodeMetrics;
import org.foxtailplank.node.OperatorFollower;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.journal.JournalWriter;
import org.foxtailplank.node.journal.StoreOutcome;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.node.peer.JobQueries;
import org.foxtailplank.node.peer.OwnerLink;
import org.foxtailplank.port.CallerCodec;
import org.foxtailplank.port.CallerCodec.InvalidBodyException;
import org.foxtailplank.port.CallerCodec.Submission;
import org.foxtailplank.port.RouteSettings;

/** Handles the HTTP requests of callers on any node, using the state read from the journal. */
public final class CallerService implements HttpHandler {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int GONE = 410;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private static final Pattern JOB_ID = Pattern.compile("[0-9a-fA-F]{16}");

    /** Deadline of requests that don't name one, in milliseconds. */
    private static final long DEFAULT_DEADLINE_MS = 3000;

    /** A phase that was up to date this recently is returned without another lookup. */
    private static final long MAX_PHASE_AGE_MS = 400;

    /**
     * Age up to which this node's own count of pending jobs is returned, in milliseconds: the count
     * may be two seconds old when the caller receives it.
     */
    static final long MAX_PENDING_AGE_MS = 1500;

    /** Part of a caller's deadline reserved for sending the reply, in milliseconds. */
    private static final long REPLY_MARGIN_MS = 150;

    /** Replies that take this long are logged, in milliseconds. */
    private static final long SLOW_REPLY_MS = 500;

    /**
     * Requests routed by a configuration that was last confirmed longer ago are logged, in
     * milliseconds; more than the wait of a long poll.
     */
    private static final long OLD_CONFIG_MS = 1000;

    /** Value of the Retry-After header while the store is unavailable, in seconds. */
    private static final String RETRY_AFTER_S = "1";

    private final OperatorFollower mOperator;
    private final JournalReader mReader;
    private final OwnerLink mLink;
    private final JobFinder mFinder;
    private final JournalWriter mWriter;
    private final CallerCodec mCodec;
    private final Clock mClock;
    private final NodeLog mLog;
    private final NodeMetrics mMetrics;
    private final Map<String, List<Consumer<HttpReply>>> mInFlight = new HashMap<>();

    public CallerService(
            OperatorFollower operator,
            JournalReader reader,
            OwnerLink link,
            JobQueries ownerQueries,
            JournalWriter writer,
            CallerCodec codec,
            Clock clock,
            Timers timers,
            NodeLog log,
            NodeMetrics metrics) {
        mOperator = operator;
        mReader = reader;
        mLink = link;
        mFinder = new JobFinder(reader, ownerQueries, clock, timers);
        mWriter = writer;
        mCodec = codec;
        mClock = clock;
        mLog = log;
        mMetrics = metrics;
    }

    @Override
    public void handle(HttpRequest request, Consumer<HttpReply> reply) {
        long startMs = mClock.nowMs();
        Consumer<HttpReply> timed =
                response -> {
                    mMetrics.counter("answers_" + response.status()).inc();
                    mMetrics.latency("answer").update(mClock.nowMs() - startMs);
                    logIfSlow(request, response, mClock.nowMs() - startMs);
                    reply.accept(response);
                };
        if (mOperator.config().isEmpty()) {
            timed.accept(unavailableReply());
            return;
        }
        mOperator.awaitVersion(
                mReader.registry().configVersion(), current -> route(request, current, timed));
    }

    /**
     * Routes a request. A node that has jobs of a newer configuration than its own may have started
     * them, or confirmed them to callers. Routing by its own would make that change disappear
     * again, so it rejects requests until it has the newer one.
     */
    private void route(HttpRequest request, boolean current, Consumer<HttpReply> reply) {
        if (!current) {
            mLog.line("config-behind")
                    .with("method", request.method())
                    .with("path", request.path())
                    .with("version", mOperator.version())
                    .with("newest", mReader.registry().configVersion())
                    .write();
            reply.accept(unavailableReply());
            return;
        }
        Optional<RouteSettings> route =
                mOperator.config().flatMap(c -> c.route(request.host(), request.path()));
        if (route.isPresent()) {
            logIfConfigOld(request);
            handleRouted(request, route.get(), reply);
        } else {
            refreshAndRoute(request, reply);
        }
    }

    private void logIfSlow(HttpRequest request, HttpReply response, long tookMs) {
        if (tookMs >= SLOW_REPLY_MS) {
            mLog.line("answer-slow")
                    .with("method", request.method())
                    .with("path", request.path())
                    .with("status", response.status())
                    .with("tookMs", tookMs)
                    .with("caughtUp", mReader.isCaughtUp())
                    .with("currentMsAgo", mClock.nowMs() - mLink.upToDateMs())
                    .write();
        }
    }

    private void logIfConfigOld(HttpRequest request) {
        long ageMs = mClock.nowMs() - mOperator.lastReadMs();
        if (ageMs >= OLD_CONFIG_MS) {
            mLog.line("config-old")
                    .with("method", request.method())
                    .with("path", request.path())
                    .with("version", mOperator.version())
                    .with("configAgeMs", ageMs)
                    .write();
        }
    }

    /**
     * Reads the newest configuration before a path counts as unknown, so that requests for a queue
     * that was just added aren't answered with 404.
     */
    private void refreshAndRoute(HttpRequest request, Consumer<HttpReply> reply) {
        mOperator.refresh(
                read -> {
                    Optional<RouteSettings> route =
                            mOperator
                                    .config()
                                    .flatMap(c -> c.route(request.host(), request.path()));
                    if (route.isPresent()) {
                        handleRouted(request, route.get(), reply);
                    } else {
                        long ageMs = mClock.nowMs() - mOperator.lastReadMs();
                        mLog.line("no-queue")
                                .with("path", request.path())
                                .with("version", mOperator.version())
                                .with("configAgeMs", ageMs)
                                .write();
                        reply.accept(read ? HttpReply.empty(NOT_FOUND) : unavailableReply());
                    }
                });
    }

    private void handleRouted(HttpRequest request, RouteSettings route, Consumer<HttpReply> reply) {
        String id = request.path().substring(route.pathPrefix().length());
        if (id.isEmpty() && request.method().equals("GET")) {
            replyPending(request, route, reply);
            return;
        }
        if (!JOB_ID.matcher(id).matches()) {
            reply.accept(HttpReply.text(BAD_REQUEST, "the ID of a job has 16 hexadecimal digits"));
            return;
        }
        switch (request.method()) {
            case "POST" -> submit(request, route, id, reply);
            case "GET" -> replyPhase(request, id, reply);
            case "DELETE" -> cancel(request, id, reply);
            default -> reply.accept(HttpReply.empty(METHOD_NOT_ALLOWED));
        }
    }

    private void submit(
            HttpRequest request, RouteSettings route, String id, Consumer<HttpReply> reply) {
        Optional<JobProgress> known = mReader.registry().job(id);
        if (known.isPresent()) {
            logRepeated(id, known.get().definition().service());
            reply.accept(HttpReply.empty(OK));
            return;
        }
        List<Consumer<HttpReply>> concurrent = mInFlight.get(id);
        if (concurrent != null) {
            logRepeated(id, route.service());
            concurrent.add(reply);
            return;
        }
        Submission submission;
        try {
            submission = mCodec.read(request.body());
        } catch (InvalidBodyException e) {
            mLog.line("bad-submission").with("job", id).with("why", e.getMessage()).write();
            reply.accept(HttpReply.text(BAD_REQUEST, e.getMessage()));
            return;
        }
        JobDefinition definition =
                new JobDefinition(
                        id,
                        route.name(),
                        route.service(),
                        submission.text(),
                        submission.steps(),
                        submission.timetable(),
                        route.policy(),
                        mClock.wallMs(),
                        mOperator.version());
        List<Consumer<HttpReply>> replies = new ArrayList<>(List.of(reply));
        mInFlight.put(id, replies);
        long deadline = deadlineMs(request);
        mWriter.store(
                new JobAccepted(definition),
                deadline,
                o -> submissionCompleted(definition, replies, o));
    }

    private void logRepeated(String job, String service) {
        mLog.line("job-resubmitted")
                .with("job", job)
                .with("service", service)
                .with("version", mOperator.version())
                .write();
    }

    private void submissionCompleted(
            JobDefinition definition, List<Consumer<HttpReply>> replies, StoreOutcome outcome) {
        mInFlight.remove(definition.id());
        mLog.line("job-submitted")
                .with("job", definition.id())
                .with("queue", definition.route())
                .with("service", definition.service())
                .with("version", definition.configVersion())
                .with("tasks", definition.tasksPerRun())
                .with("outcome", outcome)
                .write();
        replies.forEach(r -> r.accept(outcomeReply(outcome)));
    }

    /**
     * Replies with the number of pending jobs, from this node's own state only if it is up to date.
     * A node that lacks journal records, since it has just started, was disconnected or its owner
     * lacks them, would report too few.
     */
    private void replyPending(HttpRequest request, RouteSettings route, Consumer<HttpReply> reply) {
        long completeMs = Math.max(mLink.completeMs(), mReader.completeMs());
        if (mClock.nowMs() - completeMs < MAX_PENDING_AGE_MS) {
            reply.accept(pendingReply(mFinder.localPending(route.name())));
            return;
        }
        mFinder.findPending(
                route.name(),
                deadlineMs(request),
                pending -> {
                    mLog.line("pending-asked")
                            .with("queue", route.name())
                            .with("jobs", pending.map(String::valueOf).orElse("unknown"))
                            .with("ownerCompleteMsAgo", mClock.nowMs() - mLink.completeMs())
                            .with("readCompleteMsAgo", mClock.nowMs() - mReader.completeMs())
                            .with("journal", mReader.position())
                            .write();
                    reply.accept(
                            pending.map(this::pendingReply).orElseGet(() -> unavailableReply()));
                });
    }

    private HttpReply pendingReply(int jobs) {
        return HttpReply.json(OK, mCodec.pending(jobs));
    }

    private void replyPhase(HttpRequest request, String id, Consumer<HttpReply> reply) {
        Optional<JobPhase> known = mFinder.localPhase(id);
        boolean current = mClock.nowMs() - mLink.upToDateMs() < MAX_PHASE_AGE_MS;
        if (known.isPresent() && (current || known.get().isFinal())) {
            reply.accept(phaseReply(known.get()));
            return;
        }
        mFinder.findPhase(
                id,
                deadlineMs(request),
                (read, phase) -> {
                    if (phase.isEmpty()) {
                        logUnknownJob(id, read);
                    }
                    reply.accept(phase.map(this::phaseReply).orElseGet(() -> notFoundReply(read)));
                });
    }

    private void logUnknownJob(String id, boolean read) {
        mLog.line("job-unknown")
                .with("job", id)
                .with("journalRead", read)
                .with("caughtUp", mReader.isCaughtUp())
                .with("ownerAlive", mLink.isAlive())
                .with("journal", mReader.position())
                .write();
    }

    private HttpReply phaseReply(JobPhase phase) {
        return HttpReply.json(OK, mCodec.phase(phase));
    }

    /** Reports a job as unknown only if the journal was read to its end. */
    private static HttpReply notFoundReply(boolean read) {
        return read ? HttpReply.empty(GONE) : unavailableReply();
    }

    private void cancel(HttpRequest request, String id, Consumer<HttpReply> reply) {
        Optional<JobPhase> known = mFinder.localPhase(id);
        if (known.isPresent()) {
            cancelKnown(request, id, known.get(), reply);
            return;
        }
        mFinder.findPhase(
                id,
                deadlineMs(request),
                (read, phase) ->
                        phase.ifPresentOrElse(
                                p -> cancelKnown(request, id, p, reply),
                                () -> reply.accept(notFoundReply(read))));
    }

    private void cancelKnown(
            HttpRequest request, String id, JobPhase phase, Consumer<HttpReply> reply) {
        if (phase.isFinal()) {
            reply.accept(HttpReply.empty(OK));
        } else {
            storeCancellation(request, id, reply);
        }
    }

    private void storeCancellation(HttpRequest request, String id, Consumer<HttpReply> reply) {
        mWriter.store(
                new JobCancelled(id, mClock.wallMs()),
                deadlineMs(request),
                o -> {
                    mLog.line("job-cancelled").with("job", id).with("outcome", o).write();
                    reply.accept(outcomeReply(o));
                });
    }

    /**
     * Returns the time until which to wait for the store: nearly as long as the caller waits, since
     * an earlier failure would only make it send the request again.
     */
    private long deadlineMs(HttpRequest request) {
        long wait = request.number(mCodec.deadlineHeader()).orElse(DEFAULT_DEADLINE_MS);
        return mClock.nowMs() + Math.max(REPLY_MARGIN_MS, wait - REPLY_MARGIN_MS);
    }

    /**
     * Maps the outcome of storing a request's record to a reply. Only a record that is certainly
     * not stored is rejected, since a rejected job must never run. An unknown outcome is reported
     * as a gateway timeout, so that the caller asks again.
     */
    private static HttpReply outcomeReply(StoreOutcome outcome) {
        return switch (outcome) {
            case STORED -> HttpReply.empty(OK);
            case NOT_STORED -> unavailableReply();
            case UNKNOWN -> HttpReply.empty(GATEWAY_TIMEOUT);
        };
    }

    private static HttpReply unavailableReply() {
        return HttpReply.empty(SERVICE_UNAVAILABLE).with(Map.of("Retry-After", RETRY_AFTER_S));
    }
}
