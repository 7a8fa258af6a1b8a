package org.foxtailplank.controller.internal.act;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import org.foxtailplank.controller.internal.plan.PlannedChange;
import org.foxtailplank.controller.internal.plan.Sight;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.internal.control.VmStep;
import org.foxtailplank.process.Log;
import org.foxtailplank.state.ActingEpoch;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.Verdict;

/**
 * Acts for one availability zone while it holds the zone's epoch.
 *
 * <p>It keeps no plan of its own: each look reads the agreed state again and does what is next, so
 * it doesn't matter which controller wrote an intent. Not thread-safe.
 */
public final class ShardLoop {
    public static final Duration LOOK_EVERY = Duration.ofMillis(250);
    private static final Log LOG = Log.of("control");
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    /** A plan of a large fleet takes long; the pause keeps planning under 4% of a core. */
    private static final int PLAN_PAUSE_FACTOR = 25;

    private static final int MAX_STEPS_AT_ONCE = 16;

    private final ZoneId mZone;
    private final ShardParts mParts;
    private final Mailbox mMailbox;
    private final EpochKeeper mEpoch;
    private final Map<VmId, Instant> mNextStep = new HashMap<>();
    private final Set<VmId> mStepping = new HashSet<>();
    private Instant mNextPlan = Instant.MIN;
    private boolean mLooking;
    private boolean mLookAgain;
    private int mWriting;

    /** A loop that has done nothing yet. */
    public ShardLoop(ZoneId zone, ShardParts parts, Mailbox mailbox) {
        mZone = zone;
        mParts = parts;
        mMailbox = mailbox;
        mEpoch = new EpochKeeper(zone, parts.epochs(), mailbox);
    }

    /** Looks at the state and does what is next; at most one look is under way. */
    public void look() {
        mLookAgain = mLooking;
        if (mLooking) {
            return;
        }
        mLooking = true;
        Instant now = mParts.clock().instant();
        boolean plans = mEpoch.mayHold() && mWriting == 0 && !now.isBefore(mNextPlan);
        mMailbox.deliver(mParts.log().read(view -> look(view, plans, now)), this::looked);
    }

    private ShardLook look(FleetView view, boolean plans, Instant now) {
        ShardLook look = ShardLook.of(view, mZone);
        Optional<Sight> sight = mParts.watch().observe(view);
        // Before the platform's list was seen, a fleet that runs already counts as powered off, and
        // a plan would wake all of it.
        if (!plans || view.configuration().isEmpty() || sight.isEmpty()) {
            return look;
        }
        long begin = System.nanoTime();
        List<PlannedChange> changes =
                mParts.planner().plan(view, mZone, sight.get(), now.toEpochMilli());
        return look.with(changes, Duration.ofNanos(System.nanoTime() - begin));
    }

    private void looked(Optional<ShardLook> read) {
        mLooking = false;
        read.ifPresent(this::decide);
        if (mLookAgain) {
            look();
        }
    }

    private void decide(ShardLook look) {
        mEpoch.check(look.epoch(), this::look).ifPresent(epoch -> act(look, epoch));
    }

    private void act(ShardLook look, ActingEpoch epoch) {
        Instant now = mParts.clock().instant();
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
            mMailbox.deliver(
                    mParts.directory().list(Optional.empty()),
                    list -> list.ifPresent(mParts.watch()::saw));
        }
    }

    private void step(PendingVm pending, ActingEpoch epoch, Instant now) {
        VmId vm = pending.vm().id();
        boolean due = !now.isBefore(mNextStep.getOrDefault(vm, Instant.MIN));
        if (!due || mStepping.size() >= MAX_STEPS_AT_ONCE || !mStepping.add(vm)) {
            return;
        }
        mMailbox.deliver(mParts.runner().step(pending, epoch), step -> stepped(vm, step));
    }

    private void stepped(VmId vm, Optional<VmStep> step) {
        mStepping.remove(vm);
        Duration pause = step.isPresent() ? LOOK_EVERY : RETRY_AFTER;
        mNextStep.put(vm, mParts.clock().instant().plus(pause));
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
            mMailbox.deliver(verdict, v -> written(change, v));
        }
    }

    private void written(PlannedChange planned, Optional<Verdict> verdict) {
        mWriting--;
        if (verdict.isEmpty()) {
            mNextPlan = mParts.clock().instant().plus(RETRY_AFTER);
        }
        if (verdict.orElse(null) instanceof Verdict.Void v) {
            // Whatever stood against it is in the state that the next look reads.
            LOG.info(
                    "In {0} a {1} is void: {2}, {3}.",
                    mZone, planned.change().getClass().getSimpleName(), v.reason(), v.detail());
            mNextPlan = mParts.clock().instant().plus(LOOK_EVERY);
        }
        if (mWriting == 0) {
            look();
        }
    }
}
