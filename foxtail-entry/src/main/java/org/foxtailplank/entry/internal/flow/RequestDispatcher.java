package org.foxtailplank.entry.internal.flow;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.PostStop;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.foxtailplank.entry.Answer;
import org.foxtailplank.entry.CallerRequest;
import org.foxtailplank.entry.Directory;
import org.foxtailplank.entry.internal.backend.AttemptResult;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.internal.admission.Admission;
import org.foxtailplank.internal.dispatch.Attempt;
import org.foxtailplank.internal.dispatch.PendingRequest;
import org.foxtailplank.internal.dispatch.RetrySafety;
import org.foxtailplank.internal.dispatch.ServiceDispatcher;
import org.foxtailplank.internal.routing.AttemptOutcome;
import org.foxtailplank.process.Log;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.settings.TeamSettings;

/** Actor that owns the entry's queues, routing state and connections, and dispatches requests. */
final class RequestDispatcher extends AbstractBehavior<Command> {

    private static final Log LOG = Log.of("entry");
    private static final Duration TICK_INTERVAL = Duration.ofMillis(10);
    private static final double DEFAULT_QUOTA = 0.01;
    private static final int SERVER_ERROR = 500;

    private final Directory mDirectory;
    private final InstancePools mPools;
    private final Prober mProber;
    private final Map<ServiceId, ServiceDispatcher<Exchange>> mDispatchers = new HashMap<>();
    private Settings mSettings;

    private RequestDispatcher(
            ActorContext<Command> context,
            Directory directory,
            ZoneId zone,
            Settings settings,
            RandomGenerator random) {
        super(context);
        mDirectory = directory;
        mSettings = settings;
        mPools = new InstancePools(context.getSystem(), zone, settings, random);
        var self = context.getSelf();
        mProber = new Prober((target, result) -> self.tell(new Command.Probed(target, result)));
        mPools.updateServers(directory.live());
    }

    static Behavior<Command> create(
            Directory directory, ZoneId zone, Settings settings, RandomGenerator random) {
        return Behaviors.withTimers(
                timers -> {
                    timers.startTimerWithFixedDelay(Command.Tick.TICK, TICK_INTERVAL);
                    return Behaviors.setup(
                            c -> new RequestDispatcher(c, directory, zone, settings, random));
                });
    }

    @Override
    public Receive<Command> createReceive() {
        return newReceiveBuilder()
                .onMessage(Command.Queue.class, q -> queue(q.exchange()))
                .onMessage(Command.Check.class, this::check)
                .onMessage(Command.Ended.class, this::ended)
                .onMessage(Command.Probed.class, this::probed)
                .onMessage(Command.Configure.class, this::configure)
                .onMessage(Command.Tick.class, t -> tick())
                .onMessage(Command.Stop.class, s -> Behaviors.stopped())
                .onSignal(PostStop.class, s -> stop())
                .build();
    }

    private Behavior<Command> check(Command.Check c) {
        Exchange x = c.exchange();
        c.refusal().complete(refusal(x, x.pending(), dispatcherFor(x)));
        return this;
    }

    private Behavior<Command> queue(Exchange x) {
        ServiceDispatcher<Exchange> dispatcher = dispatcherFor(x);
        PendingRequest<Exchange> pending = x.pending();
        Optional<Answer> refusal = refusal(x, pending, dispatcher);
        if (refusal.isPresent()) {
            x.complete(refusal.get());
            return this;
        }
        dispatcher.enqueue(pending);
        sendWaiting(dispatcher);
        return this;
    }

    private Optional<Answer> refusal(
            Exchange x, PendingRequest<Exchange> pending, ServiceDispatcher<Exchange> dispatcher) {
        if (!dispatcher.hasServingInstance()) {
            return Optional.of(EntryAnswers.noBackendServer());
        }
        Admission a = dispatcher.checkAdmission(pending, System.nanoTime());
        Duration wait = Duration.ofNanos(a.waitNanos());
        return switch (a.reason()) {
            case ADMITTED -> Optional.empty();
            case TOO_LATE -> Optional.of(EntryAnswers.tooLate(wait));
            case OVER_QUOTA -> Optional.of(EntryAnswers.overQuota(x.team(), wait));
            case FULL -> Optional.of(EntryAnswers.queueFull(wait));
        };
    }

    /** Sends waiting requests while an instance has capacity. */
    private void sendWaiting(ServiceDispatcher<Exchange> dispatcher) {
        Optional<Attempt<Exchange>> next = dispatcher.nextAttempt(System.nanoTime());
        while (next.isPresent()) {
            send(next.get());
            next = dispatcher.nextAttempt(System.nanoTime());
        }
    }

    private void send(Attempt<Exchange> attempt) {
        CallerRequest r = attempt.request().item().request();
        boolean fresh = attempt.request().retrySafety() != RetrySafety.IDEMPOTENT;
        LOG.with("request", r.id()).debug("Sent to {0}.", attempt.target());
        var self = getContext().getSelf();
        mPools.pool(attempt.target())
                .send(BackendRequests.of(r), Duration.ofNanos(attempt.timeout()), fresh)
                .whenComplete((result, e) -> self.tell(new Command.Ended(attempt, result)));
    }

    private Behavior<Command> ended(Command.Ended e) {
        Exchange x = e.attempt().request().item();
        ServiceDispatcher<Exchange> dispatcher = dispatcherFor(x);
        Optional<Attempt<Exchange>> another =
                dispatcher.attemptEnded(e.attempt(), outcomeOf(e.result()), System.nanoTime());
        if (another.isPresent()) {
            LOG.with("request", x.request().id()).info("Tried again after {0}.", e.result());
            send(another.get());
        } else {
            x.complete(finalAnswer(e.result()));
        }
        sendWaiting(dispatcher);
        return this;
    }

    private static Answer finalAnswer(AttemptResult result) {
        if (result instanceof AttemptResult.Answered a) {
            return EntryAnswers.of(a);
        }
        if (result instanceof AttemptResult.Lost lost) {
            return EntryAnswers.unknown(lost);
        }
        String why = result instanceof AttemptResult.NotSent n ? n.why() : "it has no room";
        return EntryAnswers.noServerAccepted(why);
    }

    private static AttemptOutcome outcomeOf(AttemptResult result) {
        if (result instanceof AttemptResult.Answered a) {
            return a.status() >= SERVER_ERROR
                    ? AttemptOutcome.SERVER_ERROR
                    : AttemptOutcome.SUCCESS;
        }
        if (result instanceof AttemptResult.Declined) {
            return AttemptOutcome.BUSY;
        }
        if (result instanceof AttemptResult.NotSent n) {
            return n.refused() ? AttemptOutcome.REFUSED : AttemptOutcome.NOT_CONNECTED;
        }
        return AttemptOutcome.NO_RESPONSE;
    }

    private Behavior<Command> probed(Command.Probed p) {
        mProber.probeCompleted(p.target(), p.result());
        ServiceDispatcher<Exchange> dispatcher = mDispatchers.get(p.target().server().service());
        if (dispatcher != null) {
            sendWaiting(dispatcher);
        }
        return this;
    }

    private Behavior<Command> configure(Command.Configure c) {
        mSettings = c.settings();
        mPools.configure(c.settings());
        return this;
    }

    private Behavior<Command> tick() {
        long now = System.nanoTime();
        mPools.updateServers(mDirectory.live());
        mPools.router().endDueEjections(now);
        mPools.closeIdle();
        mProber.tick(mPools, now);
        mDispatchers.values().forEach(dispatcher -> tick(dispatcher, now));
        return this;
    }

    private void tick(ServiceDispatcher<Exchange> dispatcher, long now) {
        Duration wait = Duration.ofNanos(dispatcher.meanLatency());
        for (Exchange x : dispatcher.removeExpired(now)) {
            x.complete(
                    dispatcher.hasServingInstance()
                            ? EntryAnswers.tooLate(wait)
                            : EntryAnswers.noBackendServer());
        }
        sendWaiting(dispatcher);
    }

    private Behavior<Command> stop() {
        mPools.close();
        return this;
    }

    private ServiceDispatcher<Exchange> dispatcherFor(Exchange x) {
        return mDispatchers.computeIfAbsent(
                x.request().service(),
                s ->
                        new ServiceDispatcher<>(
                                s, mPools.router(), this::quota, mSettings.limits().retryRatio()));
    }

    private double quota(String team) {
        if (team.isEmpty()) {
            return DEFAULT_QUOTA;
        }
        TeamSettings t = mSettings.teams().get(TeamId.of(team));
        return t == null ? DEFAULT_QUOTA : t.quota();
    }
}
