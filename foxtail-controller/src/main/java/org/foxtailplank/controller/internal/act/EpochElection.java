package org.foxtailplank.controller.internal.act;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.internal.control.EpochDecision;
import org.foxtailplank.internal.control.EpochPolicy;
import org.foxtailplank.internal.control.Liveness;
import org.foxtailplank.process.Log;
import org.foxtailplank.state.ActingEpoch;
import org.foxtailplank.state.EpochState;
import org.foxtailplank.state.EpochTaken;
import org.foxtailplank.state.Verdict;

/** Competes for the epoch of one shard on behalf of this process, as the epoch policy allows. */
public final class EpochElection {
    private static final Log LOG = Log.of("control");
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final ZoneId mShard;
    private final NodeId mSelf;
    private final Supplier<EpochPolicy> mPolicy;
    private final Liveness mLiveness;
    private final RecordWriter mWriter;
    private final InstantSource mClock;
    private final Mailbox mMailbox;
    private final Instant mStarted;
    private OptionalLong mHeld = OptionalLong.empty();
    private Instant mNextAttempt = Instant.MIN;
    private boolean mAttemptPending;

    /** Creates an election without an epoch; the mailbox delivers the results of attempts. */
    public EpochElection(ZoneId shard, EpochContext context, Mailbox mailbox) {
        mShard = shard;
        mSelf = context.self();
        mPolicy = context.policy();
        mLiveness = context.liveness();
        mWriter = context.writer();
        mClock = context.clock();
        mMailbox = mailbox;
        mStarted = mClock.instant();
    }

    /** Returns whether an epoch was acquired and is not known to have ended. */
    public boolean mayHold() {
        return mHeld.isPresent();
    }

    /**
     * Returns the epoch to act under, given the state just read. If there is none, may try to
     * acquire one and runs the callback on success.
     */
    public Optional<ActingEpoch> check(EpochState read, Runnable onAcquired) {
        Instant now = mClock.instant();
        Duration elapsed = Duration.between(mStarted, now);
        EpochDecision decision = mPolicy.get().decide(read, mHeld, elapsed, mLiveness);
        if (decision instanceof EpochDecision.Held) {
            return Optional.of(new ActingEpoch(mShard, read.number()));
        }
        clearIfLost(read.number());
        if (decision instanceof EpochDecision.Take take
                && !mAttemptPending
                && !now.isBefore(mNextAttempt)) {
            acquire(take, onAcquired);
        }
        return Optional.empty();
    }

    private void clearIfLost(long number) {
        if (mHeld.isPresent() && mHeld.getAsLong() < number) {
            LOG.warn(
                    "Lost epoch {1} of shard {0} to another controller.",
                    mShard, mHeld.getAsLong());
            mHeld = OptionalLong.empty();
        }
    }

    private void acquire(EpochDecision.Take take, Runnable onAcquired) {
        mAttemptPending = true;
        long number = take.replaces() + 1;
        LOG.info("Trying to acquire epoch {1} of shard {0}: {2}.", mShard, number, take.why());
        mMailbox.deliver(
                mWriter.write(
                        mWriter.nextId(),
                        Optional.empty(),
                        Map.of(),
                        new EpochTaken(mShard, take.replaces(), mSelf)),
                verdict -> attemptCompleted(number, verdict, onAcquired));
    }

    private void attemptCompleted(long number, Optional<Verdict> verdict, Runnable onAcquired) {
        mAttemptPending = false;
        mNextAttempt = mClock.instant().plus(RETRY_AFTER);
        if (verdict.filter(Verdict::isApplied).isPresent()) {
            LOG.info("Acquired epoch {1} of shard {0}.", mShard, number);
            mHeld = OptionalLong.of(number);
            onAcquired.run();
        }
    }
}
