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
import org.foxtailplank.job.EarlyCancellations;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JobSummary;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.CancelledId;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.job.JournalRecord.UnknownJobsCancelled;
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
import org.foxtailplank.organisation.KeyLifetime;
import org.foxtailplank.port.CallerCodec;
import org.foxtailplank.port.CallerCodec.InvalidBodyException;
import org.foxtailplank.port.CallerCodec.Submission;
import org.foxtailplank.port.RouteSettings;
import org.foxtailplank.schedule.UnstoredJob;

/** Handles the HTTP requests of callers on any node, using the state read from the journal. */
public final class CallerService implements HttpHandler {
    private static final String TOO_LARGE =
            "the job's steps take more space than the journal has for one record";

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int FORBIDDEN = 403;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int GONE = 410;
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
    public static final long MAX_PENDING_AGE_MS = 1500;

    /** Part of a caller's deadline reserved for sending the reply, in milliseconds. */
    private static final long REPLY_MARGIN_MS = 150;

    /** Replies that take this long are logged, in milliseconds. */
    private static final long SLOW_REPLY_MS = 500;

    private final OperatorFollower mOperator;
    private final JournalReader mReader;
    private final OwnerLink mLink;
    private final JobFinder mFinder;
    private final JournalWriter mWriter;
    private final CallerCodec mCodec;
    private final Clock mClock;
    private final NodeLog mLog;
    private final NodeMetrics mMetrics;
    private final OrganisationMetrics mOrganisationMetrics;
    private final AdmissionGate mGate;
    private final RequestRouter mRouter;
    private final Map<String, InFlight> mInFlight = new HashMap<>();

    /** A submission that is being stored, with the replies to all requests that contain it. */
    private record InFlight(String organisation, long sinceMs, List<Consumer<HttpReply>> replies) {}

    public CallerService(
            OperatorFollower operator,
            JournalReader reader,
            OwnerLink link,
            JobQueries ownerQueries,
            JournalWriter writer,
            CallerCodec codec,
            KeyLifetime keyLifetime,
            AdmissionGate gate,
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
        mOrganisationMetrics = new OrganisationMetrics(metrics);
        mGate = gate;
        mRouter =
                new RequestRouter(
                        operator, reader, keyLifetime, codec.keyHeader(), clock, timers, log);
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
        mRouter.route(
                request,
                new RequestRouter.Callback() {
                    @Override
                    public void routed(RoutedRequest routed) {
                        handleRouted(request, routed, measured(routed, startMs, timed));
                    }

                    @Override
                    public void rejected(HttpReply response) {
                        timed.accept(response);
                    }
                });
    }

    private Consumer<HttpReply> measured(
            RoutedRequest routed, long startMs, Consumer<HttpReply> reply) {
        return response -> {
            mOrganisationMetrics.recordAnswer(
                    routed.organisation(), response.status(), mClock.nowMs() - startMs);
            reply.accept(response);
        };
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

    private void handleRouted(
            HttpRequest request, RoutedRequest routed, Consumer<HttpReply> reply) {
        RouteSettings route = routed.route();
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
            case "POST" -> submit(request, routed, id, reply);
            case "GET" -> replyPhase(request, routed, id, reply);
            case "DELETE" -> cancel(request, routed, id, reply);
            default -> reply.accept(HttpReply.empty(METHOD_NOT_ALLOWED));
        }
    }

    private void submit(
            HttpRequest request, RoutedRequest routed, String id, Consumer<HttpReply> reply) {
        RouteSettings route = routed.route();
        Optional<JobSummary> known = mFinder.localJob(id);
        if (known.isPresent()) {
            reply.accept(repeatedReply(routed, id, known.get()));
            return;
        }
        InFlight concurrent = mInFlight.get(id);
        if (concurrent != null) {
            logRepeated(id, route);
            if (concurrent.organisation().equals(routed.organisation())) {
                concurrent.replies().add(reply);
            } else {
                reply.accept(forbiddenReply(id));
            }
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
                        mOperator.version(),
                        routed.organisation());
        if (!mWriter.isStorable(new JobAccepted(definition))) {
            mLog.line("bad-submission").with("job", id).with("why", TOO_LARGE).write();
            reply.accept(HttpReply.text(BAD_REQUEST, TOO_LARGE));
            return;
        }
        List<Consumer<HttpReply>> replies = new ArrayList<>(List.of(reply));
        mInFlight.put(id, new InFlight(routed.organisation(), mClock.nowMs(), replies));
        storeOrRefuse(definition, routed, mGate.storeDeadlineMs(deadlineMs(request)), replies);
    }

    private void storeOrRefuse(
            JobDefinition definition,
            RoutedRequest routed,
            long deadlineMs,
            List<Consumer<HttpReply>> replies) {
        String id = definition.id();
        mGate.check(
                definition,
                () -> mFinder.localJob(id).isPresent(),
                refusal -> {
                    // Another node's record may have been read while the owner was asked.
                    Optional<HttpReply> answer =
                            refusal.or(
                                    () ->
                                            mFinder.localJob(id)
                                                    .map(j -> repeatedReply(routed, id, j)));
                    if (answer.isPresent()) {
                        mInFlight.remove(id);
                        replies.forEach(r -> r.accept(answer.get()));
                    } else {
                        mWriter.store(
                                new JobAccepted(definition),
                                deadlineMs,
                                o -> submissionCompleted(definition, replies, o));
                    }
                });
    }

    private HttpReply repeatedReply(RoutedRequest routed, String id, JobSummary job) {
        logRepeated(id, routed.route());
        return routed.mayAccess(job) ? HttpReply.empty(OK) : forbiddenReply(id);
    }

    private void logRepeated(String job, RouteSettings route) {
        mLog.line("job-resubmitted")
                .with("job", job)
                .with("service", route.service())
                .with("version", mOperator.version())
                .write();
    }

    private void submissionCompleted(
            JobDefinition definition, List<Consumer<HttpReply>> replies, StoreOutcome outcome) {
        long ageMs = mClock.nowMs() - mInFlight.remove(definition.id()).sinceMs();
        if (outcome == StoreOutcome.NOT_STORED || outcome == StoreOutcome.UNKNOWN) {
            UnstoredJob.of(definition, ageMs).ifPresent(mWriter::reportUnstored);
        }
        mGate.completed(definition, outcome);
        mLog.line("job-submitted")
                .with("job", definition.id())
                .with("queue", definition.route())
                .with("service", definition.service())
                .with("organisation", definition.organisation())
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
                            pending.map(this::pendingReply)
                                    .orElseGet(() -> RequestRouter.unavailableReply()));
                });
    }

    private HttpReply pendingReply(int jobs) {
        return HttpReply.json(OK, mCodec.pending(jobs));
    }

    private void replyPhase(
            HttpRequest request, RoutedRequest routed, String id, Consumer<HttpReply> reply) {
        Optional<JobSummary> known = mFinder.localJob(id);
        boolean current = mClock.nowMs() - mLink.upToDateMs() < MAX_PHASE_AGE_MS;
        if (known.isPresent() && (current || known.get().phase().isFinal())) {
            reply.accept(phaseReply(routed, id, known.get()));
            return;
        }
        mFinder.findJob(
                id,
                deadlineMs(request),
                (read, job) -> {
                    if (job.isEmpty()) {
                        logUnknownJob(id, read);
                    }
                    reply.accept(
                            job.map(j -> phaseReply(routed, id, j))
                                    .orElseGet(() -> notFoundReply(read)));
                });
    }

    private void logUnknownJob(String id, boolean read) {
        mLog.line("job-unknown")
                .with("job", id)
                .with("journalRead", read)
                .with("caughtUp", mReader.isCaughtUp())
                .with("ownerAlive", mLink.isAlive())
                .with("journal", mReader.position())
                .with("expiredTo", mReader.expiredTo())
                .write();
    }

    private HttpReply phaseReply(RoutedRequest routed, String id, JobSummary job) {
        return routed.mayAccess(job)
                ? HttpReply.json(OK, mCodec.phase(job.phase()))
                : forbiddenReply(id);
    }

    private HttpReply forbiddenReply(String id) {
        mLog.line("job-of-another-organisation").with("job", id).write();
        return HttpReply.text(FORBIDDEN, "the job belongs to another organisation");
    }

    /** Reports a job as unknown only if the journal was read to its end. */
    private static HttpReply notFoundReply(boolean read) {
        return read ? HttpReply.empty(GONE) : RequestRouter.unavailableReply();
    }

    private void cancel(
            HttpRequest request, RoutedRequest routed, String id, Consumer<HttpReply> reply) {
        long deadlineMs = deadlineMs(request);
        Optional<JobSummary> known = mFinder.localJob(id);
        if (known.isPresent()) {
            cancelKnown(routed, id, known.get(), deadlineMs, reply);
            return;
        }
        mFinder.findJob(
                id,
                deadlineMs,
                (read, job) -> {
                    if (job.isPresent()) {
                        cancelKnown(routed, id, job.get(), deadlineMs, reply);
                    } else if (read) {
                        cancelUnknown(routed, id, deadlineMs, reply);
                    } else {
                        reply.accept(RequestRouter.unavailableReply());
                    }
                });
    }

    private void cancelKnown(
            RoutedRequest routed,
            String id,
            JobSummary job,
            long deadlineMs,
            Consumer<HttpReply> reply) {
        if (!routed.mayAccess(job)) {
            reply.accept(forbiddenReply(id));
        } else if (job.phase().isFinal()) {
            reply.accept(HttpReply.empty(OK));
        } else {
            storeCancellation(new JobCancelled(id, mClock.wallMs()), id, deadlineMs, reply, OK);
        }
    }

    /**
     * Cancels a job that isn't in the journal. An append that is under way may still introduce it,
     * so the cancellation is stored before the request is answered with 410.
     */
    private void cancelUnknown(
            RoutedRequest routed, String id, long deadlineMs, Consumer<HttpReply> reply) {
        long now = mClock.wallMs();
        CancelledId cancelled =
                new CancelledId(id, routed.organisation(), routed.route().name(), now);
        EarlyCancellations kept = mReader.registry().earlyCancellations();
        if (kept.contains(cancelled)) {
            reply.accept(HttpReply.empty(GONE));
            return;
        }
        long fullForMs = kept.fullForMs(routed.organisation(), now);
        if (fullForMs > 0) {
            mLog.line("cancellations-full")
                    .with("organisation", routed.organisation())
                    .with("forMs", fullForMs)
                    .write();
            reply.accept(RequestRouter.unavailableReply(fullForMs));
            return;
        }
        JournalRecord record = new UnknownJobsCancelled(List.of(cancelled));
        storeCancellation(record, id, deadlineMs, reply, GONE);
    }

    private void storeCancellation(
            JournalRecord record,
            String id,
            long deadlineMs,
            Consumer<HttpReply> reply,
            int storedStatus) {
        mWriter.store(
                record,
                deadlineMs,
                o -> {
                    mLog.line("job-cancelled")
                            .with("job", id)
                            .with("known", storedStatus == OK)
                            .with("outcome", o)
                            .write();
                    reply.accept(
                            o == StoreOutcome.STORED
                                    ? HttpReply.empty(storedStatus)
                                    : outcomeReply(o));
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
            case NOT_STORED, REFUSED -> RequestRouter.unavailableReply();
            case UNKNOWN -> HttpReply.empty(GATEWAY_TIMEOUT);
        };
    }
}
