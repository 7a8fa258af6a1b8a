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

/** Holds the epoch of one shard for this process, or tries for it when it is this one's turn. */
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

    /** A keeper that holds nothing yet; the mailbox brings back what became of a try. */
    public EpochElection(ZoneId shard, EpochContext parts, Mailbox mailbox) {
        mShard = shard;
        mSelf = parts.self();
        mPolicy = parts.policy();
        mLiveness = parts.liveness();
        mWriter = parts.writer();
        mClock = parts.clock();
        mMailbox = mailbox;
        mStarted = mClock.instant();
    }

    /** Whether an epoch was taken and is not known to be over. */
    public boolean mayHold() {
        return mHeld.isPresent();
    }

    /** The epoch to act under, by what was just read; calls back once another one was taken. */
    public Optional<ActingEpoch> check(EpochState read, Runnable taken) {
        Instant now = mClock.instant();
        Duration waited = Duration.between(mStarted, now);
        EpochDecision decision = mPolicy.get().decide(read, mHeld, waited, mLiveness);
        if (decision instanceof EpochDecision.Held) {
            return Optional.of(new ActingEpoch(mShard, read.number()));
        }
        clearIfLost(read.number());
        if (decision instanceof EpochDecision.Take take
                && !mAttemptPending
                && !now.isBefore(mNextAttempt)) {
            acquire(take, taken);
        }
        return Optional.empty();
    }

    private void clearIfLost(long number) {
        if (mHeld.isPresent() && mHeld.getAsLong() < number) {
            LOG.warn("Lost epoch {1} of {0} to another controller.", mShard, mHeld.getAsLong());
            mHeld = OptionalLong.empty();
        }
    }

    private void acquire(EpochDecision.Take take, Runnable taken) {
        mAttemptPending = true;
        long number = take.replaces() + 1;
        LOG.info("Tries for epoch {1} of {0}: {2}.", mShard, number, take.why());
        mMailbox.deliver(
                mWriter.write(
                        mWriter.nextId(),
                        Optional.empty(),
                        Map.of(),
                        new EpochTaken(mShard, take.replaces(), mSelf)),
                verdict -> attemptCompleted(number, verdict, taken));
    }

    private void attemptCompleted(long number, Optional<Verdict> verdict, Runnable taken) {
        mAttemptPending = false;
        mNextAttempt = mClock.instant().plus(RETRY_AFTER);
        if (verdict.filter(Verdict::isApplied).isPresent()) {
            LOG.info("Holds epoch {1} of {0}.", mShard, number);
            mHeld = OptionalLong.of(number);
            taken.run();
        }
    }
}
