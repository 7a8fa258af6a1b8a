package org.foxtailplank.entry.internal.flow;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
import org.foxtailplank.entry.internal.backend.ConnectionPool;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.internal.admission.Admission;
import org.foxtailplank.internal.admission.Ticket;
import org.foxtailplank.internal.routing.AttemptEnd;
import org.foxtailplank.internal.routing.Target;
import org.foxtailplank.process.Log;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.settings.TeamSettings;

/** The one place that owns the entry's queues, its view of instances and their connections. */
final class Broker extends AbstractBehavior<Command> {

    private static final Log LOG = Log.of("entry");
    private static final Duration TICK = Duration.ofMillis(10);
    private static final double QUOTA_OF_NO_TEAM = 0.01;
    private static final int MAX_ATTEMPTS = 3;
    private static final int SERVER_ERROR = 500;

    /** An attempt that may be repeated is cut short only where this many usual times are left. */
    private static final int TIMES_WORTH_SPLITTING = 4;

    private final Directory mDirectory;
    private final Fleet mFleet;
    private final Prober mProber;
    private final Map<ServiceId, Lane> mLanes = new HashMap<>();
    private Settings mSettings;

    private Broker(
            ActorContext<Command> context,
            Directory directory,
            ZoneId zone,
            Settings settings,
            RandomGenerator random) {
        super(context);
        mDirectory = directory;
        mSettings = settings;
        mFleet = new Fleet(context.getSystem(), zone, settings, random);
        var self = context.getSelf();
        mProber = new Prober((target, result) -> self.tell(new Command.Probed(target, result)));
        mFleet.list(directory.live());
    }

    static Behavior<Command> create(
            Directory directory, ZoneId zone, Settings settings, RandomGenerator random) {
        return Behaviors.withTimers(
                timers -> {
                    timers.startTimerWithFixedDelay(Command.Tick.TICK, TICK);
                    return Behaviors.setup(c -> new Broker(c, directory, zone, settings, random));
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
        c.refusal().complete(refusal(c.exchange(), lane(c.exchange())));
        return this;
    }

    private Behavior<Command> queue(Exchange x) {
        Lane lane = lane(x);
        Optional<Answer> refusal = refusal(x, lane);
        if (refusal.isPresent()) {
            x.complete(refusal.get());
            return this;
        }
        lane.queue().add(Lane.ticket(x));
        pump(x.request().service(), lane);
        return this;
    }

    private Optional<Answer> refusal(Exchange x, Lane lane) {
        if (!mFleet.router().serves(x.request().service())) {
            return Optional.of(Answers.noBackendServer());
        }
        Admission v = lane.queue().check(Lane.ticket(x), lane.usualTime(), System.nanoTime());
        Duration wait = Duration.ofNanos(v.waitNanos());
        return switch (v.reason()) {
            case ADMITTED -> Optional.empty();
            case TOO_LATE -> Optional.of(Answers.tooLate(wait));
            case OVER_QUOTA -> Optional.of(Answers.overQuota(x.team(), wait));
            case FULL -> Optional.of(Answers.full(wait));
        };
    }

    /** Sends waiting requests as long as an instance has room. */
    private void pump(ServiceId service, Lane lane) {
        while (lane.queue().size() > 0) {
            Optional<Target> target = mFleet.router().choose(service, Set.of());
            if (target.isEmpty()) {
                lane.queue().backlog(System.nanoTime());
                return;
            }
            lane.queue().take(System.nanoTime()).ifPresent(t -> start(t.item(), target.get()));
        }
    }

    private void start(Exchange x, Target target) {
        CallerRequest r = x.request();
        Optional<ConnectionPool> pool = mFleet.pool(target);
        long now = System.nanoTime();
        long left = r.deadline() - now;
        if (left <= 0 || pool.isEmpty()) {
            x.complete(Answers.tooLate(Duration.ofNanos(lane(x).usualTime())));
            return;
        }
        if (!x.sent()) {
            lane(x).retries().earn();
        }
        x.tried().add(target.server().vm());
        target.begin();
        LOG.with("request", r.id()).debug("Sent to {0}.", target);
        var self = getContext().getSelf();
        pool.get()
                .send(BackendRequests.of(r), timeout(x, left), !r.repeatable())
                .whenComplete((res, e) -> self.tell(new Command.Ended(x, target, res, now)));
    }

    private Duration timeout(Exchange x, long left) {
        boolean splits =
                x.request().repeatable()
                        && x.tried().size() < MAX_ATTEMPTS
                        && left > TIMES_WORTH_SPLITTING * lane(x).usualTime();
        return Duration.ofNanos(splits ? left / 2 : left);
    }

    private Behavior<Command> ended(Command.Ended e) {
        Exchange x = e.exchange();
        long now = System.nanoTime();
        Lane lane = lane(x);
        AttemptEnd end = endOf(e.result());
        e.target().end(end, now - e.started(), now);
        if (end == AttemptEnd.GOOD) {
            lane.took(now - e.started());
        }
        if (!(e.result() instanceof AttemptResult.NotSent)) {
            x.markSent();
        }
        if (!retried(x, e.result(), lane)) {
            x.complete(finalAnswer(x, e.result()));
        }
        pump(x.request().service(), lane);
        return this;
    }

    private boolean retried(Exchange x, AttemptResult result, Lane lane) {
        RetryRule rule = RetryRule.after(x.request(), result);
        if (rule == RetryRule.FINAL || x.tried().size() >= MAX_ATTEMPTS) {
            return false;
        }
        if (x.request().deadline() - System.nanoTime() <= lane.usualTime()) {
            return false;
        }
        Optional<Target> next = mFleet.router().choose(x.request().service(), x.tried());
        if (next.isEmpty() || rule == RetryRule.RETRY && !lane.retries().spend()) {
            return false;
        }
        LOG.with("request", x.request().id()).info("Tried again after {0}.", result);
        start(x, next.get());
        return true;
    }

    private static Answer finalAnswer(Exchange x, AttemptResult result) {
        if (result instanceof AttemptResult.Answered a) {
            return Answers.of(a);
        }
        if (result instanceof AttemptResult.Lost lost) {
            return Answers.unknown(lost);
        }
        String why = result instanceof AttemptResult.NotSent n ? n.why() : "it has no room";
        return Answers.notTaken(why);
    }

    private static AttemptEnd endOf(AttemptResult result) {
        if (result instanceof AttemptResult.Answered a) {
            return a.status() >= SERVER_ERROR ? AttemptEnd.SERVER_ERROR : AttemptEnd.GOOD;
        }
        if (result instanceof AttemptResult.Declined) {
            return AttemptEnd.BUSY;
        }
        return result instanceof AttemptResult.NotSent ? AttemptEnd.REFUSED : AttemptEnd.BROKEN;
    }

    private Behavior<Command> probed(Command.Probed p) {
        mProber.seen(p.target(), p.result());
        ServiceId service = p.target().server().service();
        Lane lane = mLanes.get(service);
        if (lane != null) {
            pump(service, lane);
        }
        return this;
    }

    private Behavior<Command> configure(Command.Configure c) {
        mSettings = c.settings();
        mFleet.configure(c.settings());
        return this;
    }

    private Behavior<Command> tick() {
        long now = System.nanoTime();
        mFleet.list(mDirectory.live());
        mFleet.router().wake(now);
        mFleet.trim();
        mProber.tick(mFleet, now);
        mLanes.forEach((service, lane) -> tick(service, lane, now));
        return this;
    }

    private void tick(ServiceId service, Lane lane, long now) {
        boolean serves = mFleet.router().serves(service);
        for (Ticket<Exchange> t : lane.queue().giveUp(lane.usualTime(), now)) {
            Duration wait = Duration.ofNanos(lane.usualTime());
            t.item().complete(serves ? Answers.tooLate(wait) : Answers.noBackendServer());
        }
        pump(service, lane);
    }

    private Behavior<Command> stop() {
        mFleet.shut();
        return this;
    }

    private Lane lane(Exchange x) {
        return mLanes.computeIfAbsent(
                x.request().service(), s -> new Lane(this::quota, mSettings.limits().retryRatio()));
    }

    private double quota(String team) {
        if (team.isEmpty()) {
            return QUOTA_OF_NO_TEAM;
        }
        TeamSettings t = mSettings.teams().get(TeamId.of(team));
        return t == null ? QUOTA_OF_NO_TEAM : t.quota();
    }
}
