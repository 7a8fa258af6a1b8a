package org.foxtailplank.controller.internal.act;

import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.foxtailplank.controller.internal.plan.PlannedChange;
import org.foxtailplank.fleet.Observation;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.internal.control.EpochDecision;
import org.foxtailplank.internal.control.VmStep;
import org.foxtailplank.state.ActingEpoch;
import org.foxtailplank.state.EpochTaken;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.Verdict;

/**
 * Acts for one availability zone while it holds the zone's epoch.
 *
 * <p>It keeps no plan of its own: each look reads the agreed state again and does what is next, so
 * it doesn't matter which controller wrote an intent.
 */
public final class ShardController extends AbstractBehavior<ShardController.Command> {
    private static final System.Logger LOG = System.getLogger("control");
    private static final Duration LOOK_EVERY = Duration.ofMillis(250);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    /** A plan of a large fleet takes long; the pause keeps planning under 4% of a core. */
    private static final int PLAN_PAUSE_FACTOR = 25;

    private static final int MAX_STEPS_AT_ONCE = 16;

    /** What the shard is told. */
    public sealed interface Command {}

    /** It is time to look, or the state has changed. */
    public enum Look implements Command {
        NOW
    }

    private record Looked(ShardLook look) implements Command {}

    private record EpochTried(long number, Optional<Verdict> verdict) implements Command {}

    private record StepTaken(VmId vm, Optional<VmStep> step) implements Command {}

    private record Written(PlannedChange planned, Optional<Verdict> verdict) implements Command {}

    /** Nothing could be read; the next look tries again. */
    private enum LookFailed implements Command {
        SILENTLY
    }

    private final ZoneId mZone;
    private final ShardParts mParts;
    private final Instant mStarted;
    private final Map<VmId, Instant> mNextStep = new HashMap<>();
    private final Set<VmId> mStepping = new HashSet<>();
    private OptionalLong mHeld = OptionalLong.empty();
    private Instant mNextTry = Instant.MIN;
    private Instant mNextPlan = Instant.MIN;
    private boolean mTrying;
    private boolean mLooking;
    private boolean mLookAgain;
    private int mWriting;

    /** The behavior of the shard of a zone. */
    public static Behavior<Command> of(ZoneId zone, ShardParts parts) {
        return Behaviors.setup(
                context ->
                        Behaviors.withTimers(
                                timers -> new ShardController(context, timers, zone, parts)));
    }

    private ShardController(
            ActorContext<Command> context,
            TimerScheduler<Command> timers,
            ZoneId zone,
            ShardParts parts) {
        super(context);
        mZone = zone;
        mParts = parts;
        mStarted = parts.clock().instant();
        timers.startTimerWithFixedDelay(Look.NOW, LOOK_EVERY);
        getContext().getSelf().tell(Look.NOW);
    }

    @Override
    public Receive<Command> createReceive() {
        return newReceiveBuilder()
                .onMessage(Look.class, m -> onLook())
                .onMessage(Looked.class, m -> onLooked(m.look()))
                .onMessage(LookFailed.class, m -> onLookFailed())
                .onMessage(EpochTried.class, this::onEpochTried)
                .onMessage(StepTaken.class, this::onStepTaken)
                .onMessage(Written.class, this::onWritten)
                .build();
    }

    private Behavior<Command> onLook() {
        mLookAgain = mLooking;
        if (mLooking) {
            return this;
        }
        mLooking = true;
        Instant now = mParts.clock().instant();
        boolean plans = mHeld.isPresent() && mWriting == 0 && !now.isBefore(mNextPlan);
        CompletionStage<ShardLook> look = mParts.log().read(view -> look(view, plans, now));
        getContext().pipeToSelf(look, (l, e) -> e == null ? new Looked(l) : LookFailed.SILENTLY);
        return this;
    }

    private ShardLook look(FleetView view, boolean plans, Instant now) {
        ShardLook look = ShardLook.of(view, mZone);
        if (!plans || view.configuration().isEmpty()) {
            return look;
        }
        Observation seen = mParts.watch().observe(view);
        long begin = System.nanoTime();
        List<PlannedChange> changes = mParts.planner().plan(view, mZone, seen, now.toEpochMilli());
        return look.with(changes, Duration.ofNanos(System.nanoTime() - begin));
    }

    private Behavior<Command> onLooked(ShardLook look) {
        mLooking = false;
        Instant now = mParts.clock().instant();
        EpochDecision decision =
                mParts.epochs()
                        .decide(
                                look.epoch(),
                                mHeld,
                                Duration.between(mStarted, now),
                                mParts.liveness());
        if (decision instanceof EpochDecision.Held) {
            act(look, now);
        } else {
            lose(look.epoch().number());
        }
        if (decision instanceof EpochDecision.Take take && !mTrying && !now.isBefore(mNextTry)) {
            tryEpoch(take);
        }
        if (mLookAgain) {
            getContext().getSelf().tell(Look.NOW);
        }
        return this;
    }

    private Behavior<Command> onLookFailed() {
        mLooking = false;
        return this;
    }

    private void lose(long taken) {
        if (mHeld.isPresent() && mHeld.getAsLong() < taken) {
            LOG.log(Level.WARNING, "control {0}: lost epoch {1}", mZone, mHeld.getAsLong());
            mHeld = OptionalLong.empty();
        }
    }

    private void tryEpoch(EpochDecision.Take take) {
        mTrying = true;
        long number = take.replaces() + 1;
        LOG.log(Level.INFO, "control {0}: tries epoch {1}: {2}", mZone, number, take.why());
        CompletionStage<Verdict> verdict =
                mParts.writer()
                        .write(
                                mParts.writer().nextId(),
                                Optional.empty(),
                                Map.of(),
                                new EpochTaken(mZone, take.replaces(), mParts.self()));
        getContext().pipeToSelf(verdict, (v, e) -> new EpochTried(number, Optional.ofNullable(v)));
    }

    private Behavior<Command> onEpochTried(EpochTried tried) {
        mTrying = false;
        mNextTry = mParts.clock().instant().plus(RETRY_AFTER);
        if (tried.verdict().filter(Verdict.Applied.class::isInstance).isPresent()) {
            LOG.log(Level.INFO, "control {0}: holds epoch {1}", mZone, tried.number());
            mHeld = OptionalLong.of(tried.number());
        }
        return onLook();
    }

    private void act(ShardLook look, Instant now) {
        ActingEpoch epoch = new ActingEpoch(mZone, mHeld.getAsLong());
        Set<VmId> pending =
                look.pending().stream().map(p -> p.vm().id()).collect(Collectors.toSet());
        mParts.runner().keepOnly(pending);
        mNextStep.keySet().retainAll(pending);
        for (PendingVm vm : look.pending()) {
            step(vm, epoch, now);
        }
        if (mWriting == 0 && look.planned().isPresent()) {
            mNextPlan = now.plus(look.planning().multipliedBy(PLAN_PAUSE_FACTOR));
            write(look.planned().get(), epoch);
        }
        if (mParts.watch().isDue(now)) {
            mParts.directory().list(Optional.empty()).thenAccept(mParts.watch()::saw);
        }
    }

    private void step(PendingVm pending, ActingEpoch epoch, Instant now) {
        VmId vm = pending.vm().id();
        boolean due = !now.isBefore(mNextStep.getOrDefault(vm, Instant.MIN));
        if (!due || mStepping.size() >= MAX_STEPS_AT_ONCE || !mStepping.add(vm)) {
            return;
        }
        getContext()
                .pipeToSelf(
                        mParts.runner().step(pending, epoch),
                        (s, e) -> new StepTaken(vm, Optional.ofNullable(s)));
    }

    private Behavior<Command> onStepTaken(StepTaken taken) {
        mStepping.remove(taken.vm());
        Duration pause = taken.step().isPresent() ? LOOK_EVERY : RETRY_AFTER;
        mNextStep.put(taken.vm(), mParts.clock().instant().plus(pause));
        return this;
    }

    private void write(List<PlannedChange> planned, ActingEpoch epoch) {
        mWriting = planned.size();
        for (PlannedChange change : planned) {
            CompletionStage<Verdict> verdict =
                    mParts.writer()
                            .write(
                                    mParts.writer().nextId(),
                                    Optional.of(epoch),
                                    change.expects(),
                                    change.change());
            getContext().pipeToSelf(verdict, (v, e) -> new Written(change, Optional.ofNullable(v)));
        }
    }

    private Behavior<Command> onWritten(Written written) {
        mWriting--;
        if (written.verdict().isEmpty()) {
            mNextPlan = mParts.clock().instant().plus(RETRY_AFTER);
        }
        if (written.verdict().orElse(null) instanceof Verdict.Void v) {
            // Whatever stood against it is in the state that the next look reads.
            LOG.log(Level.INFO, "control {0}: {1} void: {2}", mZone, names(written), v.reason());
            mNextPlan = mParts.clock().instant().plus(LOOK_EVERY);
        }
        return this;
    }

    private static Set<ObjectKey> names(Written written) {
        return written.planned().change().touches();
    }
}
