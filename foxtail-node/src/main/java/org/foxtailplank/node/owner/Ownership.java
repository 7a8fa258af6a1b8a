package org.foxtailplank.node.owner;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.foxtailplank.http.IpPort;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.OwnerAlive;
import org.foxtailplank.job.JournalRecord.OwnerLeft;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.lease.CallLease;
import org.foxtailplank.lease.RenewalWindow;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.LinkRate;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.node.peer.OwnerSigns;
import org.foxtailplank.node.peer.OwnerSigns.KnownOwner;
import org.foxtailplank.node.peer.OwnerState;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.port.SharedLog.AppendResult;
import org.foxtailplank.port.SharedLog.PageRequest;
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

    /** How often a node that still reads the journal looks for the owner, in milliseconds. */
    private static final long LOOK_MS = 400;

    private static final LogPartition OWNERS = new LogPartition("foxtail-owners", 0);

    private final SharedLog mLog;
    private final JournalReader mReader;
    private final Clock mClock;
    private final Timers mTimers;
    private final NodeLog mOut;
    private final OwnerRecord mSelf;
    private final OwnerSigns mSigns;
    private final VmActions mVms;
    private final Consumer<TakeOver> mTaken;
    private final long mYieldMs;

    private long mSpreadMs;
    private long mSignMs;
    private long mLastReadMs;
    private long mToken;
    private long mLookedTo;

    /** End of the owners' records behind one that no node has written; it makes nobody an owner. */
    private long mForeignEnd;

    private boolean mLeft;
    private long mFreeSinceMs = Long.MAX_VALUE;
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
            LinkRate link,
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
        mSigns = signs;
        mVms = vms;
        mTaken = taken;
        mYieldMs = link.yieldMs();
        mSpreadMs = ThreadLocalRandom.current().nextLong(SPREAD_MS);
        mSignMs = clock.nowMs() - OwnerState.SILENT.patienceMs();
    }

    /** Begins to watch the owner. */
    public void watch() {
        mSigns.whenDoubtful(this::replaceIfDue);
        mTimers.after(CHECK_MS, this::check);
        lookForOwner();
    }

    /**
     * Reads who took ownership last, until the journal was read to its end once. Guards against a
     * node behind a narrow link that knows no owner for the seconds that the journal takes to
     * arrive, since an owner's signs are at its end: it could neither hand records over nor ask the
     * owner what callers want to know.
     */
    private void lookForOwner() {
        if (mReader.isCaughtUp() || mStopped) {
            return;
        }
        mLog.read(OWNERS, mLookedTo, PageRequest.largest(0), this::lookedForOwner);
    }

    private void lookedForOwner(SharedLog.ReadResult result) {
        mTimers.after(LOOK_MS, this::lookForOwner);
        if (result instanceof SharedLog.Records page && !page.records().isEmpty()) {
            int count = page.records().size();
            mLookedTo = page.from() + count;
            last(page.records().get(count - 1), mLookedTo);
        } else if (result instanceof SharedLog.RecordsGone gone) {
            mLookedTo = gone.firstOffset();
        }
    }

    /** A record of the journal was read. */
    public void seen(JournalRecord record) {
        if (record instanceof OwnerAlive alive && alive.token() >= mToken) {
            alive(alive);
        } else if (record instanceof OwnerLeft left && left.token() >= mToken) {
            mToken = left.token();
            mLeft = true;
            mLastLeft = Optional.of(left);
        } else if (record instanceof RunsStarted || record instanceof RunsEnded) {
            sign();
        }
    }

    /** One with an address that is none is another writer's: it would hide the owner there is. */
    private void alive(OwnerAlive alive) {
        Optional<KnownOwner> owner = known(alive.token(), alive.address());
        if (!mOwner && owner.isEmpty()) {
            mOut.line("owner-sign-unreadable").with("token", alive.token()).write();
            return;
        }
        mToken = alive.token();
        mLastAlive = Optional.of(alive);
        mLeft = false;
        sign();
        mSigns.owner(mOwner ? Optional.empty() : owner);
    }

    /** A sign of the owner's; one of the past, read at the start, says little of now. */
    private void sign() {
        mSignMs = mClock.nowMs() - (mReader.isCaughtUp() ? 0 : PAST_MS);
    }

    private static Optional<KnownOwner> known(long token, String address) {
        return IpPort.parse(address).map(a -> new KnownOwner(token, a));
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

    /** Whether the place is free, and others with wider links have had time to take it. */
    private boolean isReplaceable() {
        long now = mClock.nowMs();
        boolean free = mLeft || now - signMs() >= patienceMs() + mSpreadMs;
        mFreeSinceMs = free ? Math.min(mFreeSinceMs, now) : Long.MAX_VALUE;
        return free && now - mFreeSinceMs >= mYieldMs;
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
                    long expected = expectedEnd();
                    mLog.appendAt(OWNERS, expected, mSelf.encode(), r -> answered(r, expected));
                });
    }

    private void answered(AppendResult result, long expectedEnd) {
        mSpreadMs = ThreadLocalRandom.current().nextLong(SPREAD_MS);
        mOut.line("owner-try")
                .with("node", mSelf.node())
                .with("expectedToken", expectedEnd)
                .with("outcome", result)
                .write();
        if (result instanceof SharedLog.Stored stored) {
            take(stored.firstOffset() + 1);
        } else if (result instanceof SharedLog.EndMoved moved && moved.end() < expectedEnd) {
            mTrying = false;
            neverGiven(expectedEnd, moved.end());
        } else if (result instanceof SharedLog.EndMoved moved) {
            checkLast(moved.end());
        } else if (result instanceof SharedLog.MaybeStored) {
            checkLast(expectedEnd() + 1);
        } else {
            mTrying = false;
        }
    }

    /**
     * Where the owners' records end if nobody has taken ownership. Another writer's record counts:
     * expected at the last owner's, the end would never be there and nobody could own any more.
     */
    private long expectedEnd() {
        return Math.max(mToken, mForeignEnd);
    }

    /**
     * A sign in the journal named a token beyond the last record of the owners: it was another
     * writer's. Believed on, nobody could own any more, and the owner's own signs would count for
     * nothing; it gets the time to show itself again.
     */
    private void neverGiven(long token, long end) {
        if (expectedEnd() == token) {
            mOut.line("owner-sign-unreadable").with("token", token).write();
            mToken = end;
            mForeignEnd = end;
            mLeft = false;
            mSignMs = mClock.nowMs();
        }
    }

    /** Somebody took ownership, perhaps this node by an append whose answer was lost. */
    private void checkLast(long end) {
        if (end <= expectedEnd()) {
            mTrying = false;
            return;
        }
        mLog.read(
                OWNERS,
                end - 1,
                PageRequest.largest(0),
                r -> {
                    mTrying = false;
                    if (r instanceof SharedLog.Records page && !page.records().isEmpty()) {
                        int count = page.records().size();
                        last(page.records().get(count - 1), page.from() + count);
                    }
                });
    }

    /** The last record of the owners. */
    private void last(byte[] record, long token) {
        Optional<OwnerRecord> written = OwnerRecord.decode(record);
        Optional<KnownOwner> owner = written.flatMap(o -> known(token, o.address()));
        if (written.equals(Optional.of(mSelf))) {
            take(token);
        } else if (owner.isEmpty()) {
            mForeignEnd = Math.max(mForeignEnd, token);
            mOut.line("owner-record-unreadable").with("offset", token - 1).write();
        } else if (token > mToken) {
            // Its first sign in the journal may take long with a slow store; its stream tells now.
            mToken = token;
            mLeft = false;
            mSignMs = mClock.nowMs();
            mSigns.owner(owner);
        }
    }

    private void take(long token) {
        mTrying = false;
        if (mStopped) {
            return;
        }
        mToken = token;
        mOwner = true;
        mFreeSinceMs = Long.MAX_VALUE;
        mTaken.accept(new TakeOver(token, isPredecessorOver(token), areRenewalsOver(token)));
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
        boolean ownedLong = hasOwned(before, CallLease.WAIT_MS);
        return isFirst || hasLeft || ownedLong && mSigns.areCallsOver(before);
    }

    /**
     * Whether no earlier owner renews leases of workers any more. One that has left, or whose
     * process has ended, renews none; it must have owned for longer than its own predecessor may
     * have gone on renewing, of which it says nothing.
     */
    private boolean areRenewalsOver(long token) {
        long before = token - 1;
        boolean isFirst = before == 0;
        boolean hasLeft = mLastLeft.map(l -> l.token() == before).orElse(false);
        boolean isOver = hasLeft || mSigns.areCallsOver(before);
        return isFirst || isOver && hasOwned(before, RenewalWindow.WAIT_MS);
    }

    /** Whether the owner with a token has owned for so long. */
    private boolean hasOwned(long token, long ms) {
        return mLastAlive.map(a -> a.token() == token && a.ownedMs() >= ms).orElse(false);
    }
}
