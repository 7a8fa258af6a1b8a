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
import org.foxtailplank.job.JobOrder;
import org.foxtailplank.job.JobPhase;
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
import org.foxtailplank.node.peer.OwnerBook;
import org.foxtailplank.node.peer.OwnerLink;
import org.foxtailplank.port.CallerBodies;
import org.foxtailplank.port.CallerBodies.BadBodyException;
import org.foxtailplank.port.CallerBodies.Submission;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.RouteSettings;

/** The requests of callers, from any node: what they need stands in the journal. */
public final class CallerService implements HttpHandler {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int GONE = 410;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private static final Pattern JOB_ID = Pattern.compile("[0-9a-fA-F]{16}");

    /** How long to wait for the store where a caller doesn't say, in milliseconds. */
    private static final long DEFAULT_DEADLINE_MS = 3000;

    /** What the owner has handed on this lately is told without a read of the journal. */
    private static final long MAX_PHASE_AGE_MS = 400;

    /**
     * A book that was complete so long ago tells how many jobs of a queue are pending, in
     * milliseconds: the number may be two seconds old when the caller has it.
     */
    static final long MAX_PENDING_AGE_MS = 1500;

    /** Kept of a caller's time for the way of the answer, in milliseconds. */
    private static final long REPLY_MARGIN_MS = 150;

    /** Answers that take longer are written down, in milliseconds: many of the store's. */
    private static final long SLOW_REPLY_MS = 500;

    /** When to ask again while the store takes nothing, in seconds: outages last a few seconds. */
    private static final String RETRY_AFTER_S = "1";

    private final OperatorFollower mOperator;
    private final JournalReader mReader;
    private final OwnerLink mLink;
    private final JobFinder mFinder;
    private final JournalWriter mWriter;
    private final CallerBodies mBodies;
    private final Clock mClock;
    private final NodeLog mLog;
    private final NodeMetrics mMetrics;
    private final Map<String, List<Consumer<HttpReply>>> mInFlight = new HashMap<>();

    public CallerService(
            OperatorFollower operator,
            JournalReader reader,
            OwnerLink link,
            OwnerBook ownerBook,
            JournalWriter writer,
            CallerBodies bodies,
            Clock clock,
            Timers timers,
            NodeLog log,
            NodeMetrics metrics) {
        mOperator = operator;
        mReader = reader;
        mLink = link;
        mFinder = new JobFinder(reader, ownerBook, clock, timers);
        mWriter = writer;
        mBodies = bodies;
        mClock = clock;
        mLog = log;
        mMetrics = metrics;
    }

    @Override
    public void handle(HttpRequest request, Consumer<HttpReply> reply) {
        long startMs = mClock.nowMs();
        Consumer<HttpReply> timed =
                answer -> {
                    mMetrics.counter("answers_" + answer.status()).inc();
                    mMetrics.latency("answer").update(mClock.nowMs() - startMs);
                    logIfSlow(request, answer, mClock.nowMs() - startMs);
                    reply.accept(answer);
                };
        Optional<FleetConfig> config = mOperator.config();
        if (config.isEmpty()) {
            timed.accept(unavailableReply());
            return;
        }
        Optional<RouteSettings> route = config.get().route(request.host(), request.path());
        if (route.isPresent()) {
            handleRouted(request, route.get(), timed);
        } else {
            refreshAndRoute(request, timed);
        }
    }

    private void logIfSlow(HttpRequest request, HttpReply answer, long tookMs) {
        if (tookMs >= SLOW_REPLY_MS) {
            mLog.line("answer-slow")
                    .with("method", request.method())
                    .with("path", request.path())
                    .with("status", answer.status())
                    .with("tookMs", tookMs)
                    .with("caughtUp", mReader.isCaughtUp())
                    .with("currentMsAgo", mClock.nowMs() - mLink.upToDateMs())
                    .write();
        }
    }

    /**
     * No queue is known for the path. Guards against telling a caller that a queue doesn't exist
     * that was added a moment ago: the newest configuration is read before that is said.
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
                        long age = mClock.nowMs() - mOperator.lastReadMs();
                        mLog.line("no-queue")
                                .with("path", request.path())
                                .with("configAgeMs", age)
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
        if (mReader.book().job(id).isPresent()) {
            reply.accept(HttpReply.empty(OK));
            return;
        }
        List<Consumer<HttpReply>> waiting = mInFlight.get(id);
        if (waiting != null) {
            waiting.add(reply);
            return;
        }
        Submission submission;
        try {
            submission = mBodies.read(request.body());
        } catch (BadBodyException e) {
            mLog.line("bad-submission").with("job", id).with("why", e.getMessage()).write();
            reply.accept(HttpReply.text(BAD_REQUEST, e.getMessage()));
            return;
        }
        JobOrder order =
                new JobOrder(
                        id,
                        route.name(),
                        route.service(),
                        submission.text(),
                        submission.steps(),
                        submission.timetable(),
                        route.terms(),
                        mClock.wallMs());
        List<Consumer<HttpReply>> replies = new ArrayList<>(List.of(reply));
        mInFlight.put(id, replies);
        long deadline = deadlineMs(request);
        mWriter.store(
                new JobAccepted(order), deadline, o -> submissionCompleted(order, replies, o));
    }

    private void submissionCompleted(
            JobOrder order, List<Consumer<HttpReply>> replies, StoreOutcome outcome) {
        mInFlight.remove(order.id());
        mLog.line("job-submitted")
                .with("job", order.id())
                .with("queue", order.route())
                .with("service", order.service())
                .with("tasks", order.tasksPerRun())
                .with("outcome", outcome)
                .write();
        replies.forEach(r -> r.accept(outcomeReply(outcome)));
    }

    /**
     * Guards against a node that lacks records of the journal, since it has just started or was cut
     * off, or since its owner lacks them: it would tell callers that nothing of a queue waits. A
     * node that can't read what it lacks doesn't say a number.
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
                found -> {
                    mLog.line("pending-asked")
                            .with("queue", route.name())
                            .with("jobs", found.map(String::valueOf).orElse("unknown"))
                            .with("ownerCompleteMsAgo", mClock.nowMs() - mLink.completeMs())
                            .with("readCompleteMsAgo", mClock.nowMs() - mReader.completeMs())
                            .with("journal", mReader.position())
                            .write();
                    reply.accept(found.map(this::pendingReply).orElseGet(() -> unavailableReply()));
                });
    }

    private HttpReply pendingReply(int jobs) {
        return HttpReply.json(OK, mBodies.pending(jobs));
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
                (read, phase) ->
                        reply.accept(
                                phase.map(this::phaseReply).orElseGet(() -> notFoundReply(read))));
    }

    private HttpReply phaseReply(JobPhase phase) {
        return HttpReply.json(OK, mBodies.phase(phase));
    }

    /** That no such job exists is said only where the journal was read to its end. */
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
     * A slow store is waited for as long as the caller waits: the record is on its way, and a
     * caller that were told so sooner could only send it once more.
     */
    private long deadlineMs(HttpRequest request) {
        long wait = request.number(mBodies.deadlineHeader()).orElse(DEFAULT_DEADLINE_MS);
        return mClock.nowMs() + Math.max(REPLY_MARGIN_MS, wait - REPLY_MARGIN_MS);
    }

    /**
     * What a caller is told of a record that its request needs. Only a record that surely isn't
     * stored is refused, since a refused job must never run; where that isn't known the caller
     * learns so, and asks again.
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
