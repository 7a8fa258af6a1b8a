package org.foxtailplank.node.owner;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.OwnerAlive;
import org.foxtailplank.job.JournalRecord.OwnerLeft;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.lease.CallLease;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.node.peer.OwnerSigns;
import org.foxtailplank.node.peer.OwnerSigns.KnownOwner;
import org.foxtailplank.node.peer.OwnerState;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.port.SharedLog.AppendResult;
import org.foxtailplank.port.VmActions;

/**
 * Decides when this node tries to become the owner, and takes ownership by a conditional append.
 *
 * <p>An owner that falls silent in the journal is replaced. Time decides only when to try: who owns
 * is decided by the append, of which only one succeeds at an offset, and workers obey the highest
 * offset that they have seen.
 */
public final class Ownership {
    /** How old a sign counts that was read at the start, in milliseconds: one interval of signs. */
    private static final long PAST_MS = 400;

    /** Answers of the store that an owner is given on top of that: so many for a sign to arrive. */
    private static final int STORE_ANSWERS = 4;

    /**
     * How long a node that does not reach the VM service lets others go ahead, in milliseconds:
     * time for the others to ask it and to append.
     */
    private static final long YIELD_MS = 1200;

    /** Spread of the tries of several nodes, in milliseconds: an append takes about 10. */
    private static final long SPREAD_MS = 300;

    /** How often to look whether the owner is silent, in milliseconds. */
    private static final long CHECK_MS = 100;

    /** Reads further apart than this tell nothing of the owner's silence, in milliseconds. */
    private static final long READ_GAP_MS = 1500;

    private static final LogPartition OWNERS = new LogPartition("foxtail-owners", 0);

    private final SharedLog mLog;
    private final JournalReader mReader;
    private final Clock mClock;
    private final Timers mTimers;
    private final NodeLog mOut;
    private final OwnerRecord mSelf;
    private final LinkWidth mLink;
    private final OwnerSigns mSigns;
    private final VmActions mVms;
    private final Consumer<TakeOver> mTaken;

    private long mSpreadMs;
    private long mSignMs;
    private long mLastReadMs;
    private long mToken;
    private boolean mLeft;
    private Optional<Long> mFreeSinceMs = Optional.empty();
    private Optional<OwnerLeft> mLastLeft = Optional.empty();
    private Optional<OwnerAlive> mLastAlive = Optional.empty();
    private boolean mTrying;
    private boolean mOwner;
    private boolean mStopped;

    /** Ownership for a node; {@code taken} is told when it becomes the owner. */
    public Ownership(
            SharedLog log,
            JournalReader reader,
            Clock clock,
            Timers timers,
            NodeLog out,
            String node,
            String address,
            LinkWidth link,
            OwnerSigns signs,
            VmActions vms,
            Consumer<TakeOver> taken) {
        mLog = log;
        mReader = reader;
        mClock = clock;
        mTimers = timers;
        mOut = out;
        String life = Long.toHexString(ThreadLocalRandom.current().nextLong());
        mSelf = new OwnerRecord(node, address, life);
        mLink = link;
        mSigns = signs;
        mVms = vms;
        mTaken = taken;
        mSpreadMs = ThreadLocalRandom.current().nextLong(SPREAD_MS);
        mSignMs = clock.nowMs() - OwnerState.SILENT.patienceMs();
    }

    /** Begins to watch the owner. */
    public void watch() {
        mSigns.whenDoubtful(this::replaceIfDue);
        mTimers.after(CHECK_MS, this::check);
    }

    /** A record of the journal was read. */
    public void seen(JournalRecord record) {
        if (record instanceof OwnerAlive alive && alive.token() >= mToken) {
            mToken = alive.token();
            mLastAlive = Optional.of(alive);
            mLeft = false;
            sign();
            mSigns.owner(
                    mOwner ? Optional.empty() : Optional.of(known(alive.token(), alive.address())));
        } else if (record instanceof OwnerLeft left && left.token() >= mToken) {
            mToken = left.token();
            mLeft = true;
            mLastLeft = Optional.of(left);
        } else if (record instanceof RunsStarted || record instanceof RunsEnded) {
            sign();
        }
    }

    /** A sign of the owner's; one of the past, read at the start, says little of now. */
    private void sign() {
        mSignMs = mClock.nowMs() - (mReader.isCaughtUp() ? 0 : PAST_MS);
    }

    private static KnownOwner known(long token, String address) {
        int colon = address.lastIndexOf(':');
        int port = Integer.parseInt(address.substring(colon + 1));
        return new KnownOwner(token, new InetSocketAddress(address.substring(0, colon), port));
    }

    /** This node does not own any more; another one gave orders with a higher token. */
    public void lost() {
        mOwner = false;
        mSignMs = mClock.nowMs();
    }

    /** This node stops; it takes ownership no more. */
    public void stop() {
        mStopped = true;
        mOwner = false;
    }

    private void check() {
        mTimers.after(CHECK_MS, this::check);
        mSigns.check();
        long read = mReader.lastReadMs();
        if (read - mLastReadMs > READ_GAP_MS) {
            // While nothing could be read, the owner's signs could not be seen either.
            mSignMs = Math.max(mSignMs, read);
        }
        mLastReadMs = Math.max(mLastReadMs, read);
        replaceIfDue();
    }

    private void replaceIfDue() {
        boolean fresh = mClock.nowMs() - mReader.lastReadMs() < READ_GAP_MS;
        boolean may = !mOwner && !mTrying && !mStopped;
        if (may && mReader.isCaughtUp() && fresh && isReplaceable()) {
            readOnce();
        }
    }

    /**
     * Whether nobody owns, as far as this node can see, and those that shall go first have had
     * their time. That time counts from when this node has seen it, not from the owner's last sign:
     * a node that has just started has seen none for longer than any head start.
     */
    private boolean isReplaceable() {
        long now = mClock.nowMs();
        if (!mLeft && now - signMs() < patienceMs() + mSpreadMs) {
            mFreeSinceMs = Optional.empty();
            return false;
        }
        long freeSince = mFreeSinceMs.orElse(now);
        mFreeSinceMs = Optional.of(freeSince);
        return now - freeSince >= mLink.headStartMs();
    }

    /** With a slow store the owner's signs come late in the journal, and early on its stream. */
    private long signMs() {
        return Math.max(mSignMs, mSigns.storingMs());
    }

    private long patienceMs() {
        OwnerState state = mSigns.state(mToken);
        long late = state == OwnerState.GONE ? 0 : STORE_ANSWERS * mReader.answerMs();
        return state.patienceMs() + late;
    }

    /**
     * Reads the journal once more before anything is tried. Guards against replacing an owner whose
     * answers from the store are lost: it can't know that its records are stored, but they are.
     */
    private void readOnce() {
        mTrying = true;
        mReader.refresh(
                read -> {
                    if (read && isReplaceable() && !mStopped) {
                        tryToTake();
                    } else {
                        mTrying = false;
                    }
                });
    }

    /**
     * Asks the VM service first: a node that does not reach it, perhaps because its zone is cut
     * off, lets others go ahead, and tries only if none does.
     */
    private void tryToTake() {
        mVms.list(
                vms -> {
                    // An owner may have shown itself meanwhile.
                    boolean yields = mClock.nowMs() - signMs() < patienceMs() + YIELD_MS;
                    if (vms.isEmpty() && yields || mStopped || !isReplaceable()) {
                        mTrying = false;
                        return;
                    }
                    mLog.appendAt(OWNERS, mToken, mSelf.encode(), this::answered);
                });
    }

    private void answered(AppendResult result) {
        mSpreadMs = ThreadLocalRandom.current().nextLong(SPREAD_MS);
        mOut.line("owner-try")
                .with("node", mSelf.node())
                .with("expectedToken", mToken)
                .with("outcome", result)
                .write();
        if (result instanceof SharedLog.Stored stored) {
            take(stored.firstOffset() + 1);
        } else if (result instanceof SharedLog.EndMoved moved) {
            checkLast(moved.end());
        } else if (result instanceof SharedLog.MaybeStored) {
            checkLast(mToken + 1);
        } else {
            mTrying = false;
        }
    }

    /** Somebody took ownership, perhaps this node by an append whose answer was lost. */
    private void checkLast(long end) {
        if (end <= mToken) {
            mTrying = false;
            return;
        }
        mLog.read(
                OWNERS,
                end - 1,
                0,
                r -> {
                    mTrying = false;
                    if (r instanceof SharedLog.Records page && !page.records().isEmpty()) {
                        int count = page.records().size();
                        OwnerRecord.decode(page.records().get(count - 1))
                                .ifPresent(o -> last(o, page.from() + count));
                    }
                });
    }

    /** The last record of the owners. */
    private void last(OwnerRecord owner, long token) {
        if (owner.equals(mSelf)) {
            take(token);
        } else if (token > mToken) {
            // Its first sign in the journal may take long with a slow store; its stream tells now.
            mToken = token;
            mLeft = false;
            mSignMs = mClock.nowMs();
            mSigns.owner(Optional.of(known(token, owner.address())));
        }
    }

    private void take(long token) {
        mTrying = false;
        if (mStopped) {
            return;
        }
        mToken = token;
        mOwner = true;
        mTaken.accept(new TakeOver(token, isPredecessorOver(token)));
    }

    /**
     * Whether no earlier owner's call to the VM service can be under way. What is known of the
     * owner just before this one tells: one that has left says it itself, and one whose process has
     * ended or that was replaced says so where it was reached. The latter speaks for itself alone,
     * so that it must have owned longer than a lease of its own predecessor could last. A node in
     * between may have owned for a moment and left no sign in the journal, so that the token
     * counts.
     */
    private boolean isPredecessorOver(long token) {
        long before = token - 1;
        boolean isFirst = before == 0;
        boolean hasLeft = mLastLeft.map(l -> l.token() == before && l.callsOver()).orElse(false);
        boolean ownedLong =
                mLastAlive
                        .map(a -> a.token() == before && a.ownedMs() >= CallLease.WAIT_MS)
                        .orElse(false);
        return isFirst || hasLeft || ownedLong && mSigns.areCallsOver(before);
    }
}
