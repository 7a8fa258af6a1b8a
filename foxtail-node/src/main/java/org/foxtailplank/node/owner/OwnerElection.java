package org.foxtailplank.node.owner;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongUnaryOperator;
import org.foxtailplank.http.IpPort;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.OwnerHeartbeat;
import org.foxtailplank.job.JournalRecord.OwnerResigned;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.lease.CallLease;
import org.foxtailplank.lease.RenewalWindow;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.LinkRate;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.node.peer.OwnerMonitor;
import org.foxtailplank.node.peer.OwnerMonitor.KnownOwner;
import org.foxtailplank.node.peer.OwnerState;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.port.SharedLog.AppendResult;
import org.foxtailplank.port.SharedLog.PageRequest;
import org.foxtailplank.port.VmClient;

/**
 * Decides when this node tries to become the owner, and takes ownership by a conditional append.
 *
 * <p>An owner whose journal records stop arriving is replaced. Timeouts only decide when to try:
 * the conditional append succeeds for exactly one node at an offset, and workers accept commands
 * only with the highest token they have seen.
 */
public final class OwnerElection {
    /** Assumed age of a record read at startup, in milliseconds: one heartbeat interval. */
    private static final long STARTUP_RECORD_AGE_MS = 400;

    /**
     * Added to the owner's timeout as a multiple of the store's current latency, so that a
     * heartbeat can arrive through a slow store.
     */
    private static final int STORE_LATENCY_FACTOR = 4;

    /**
     * How long a node that cannot reach the VM service yields to other nodes, in milliseconds:
     * enough for them to reach it and append.
     */
    private static final long UNREACHABLE_YIELD_MS = 1200;

    /**
     * Upper bound of the random delay between attempts of different nodes, in milliseconds; an
     * append takes about 10.
     */
    private static final long MAX_JITTER_MS = 300;

    /** How often to check whether the owner has timed out, in milliseconds. */
    private static final long CHECK_INTERVAL_MS = 100;

    /**
     * If two reads are further apart than this, in milliseconds, the time between them does not
     * count against the owner.
     */
    private static final long MAX_READ_GAP_MS = 1500;

    /** How often a node that is still reading the journal looks up the owner, in milliseconds. */
    private static final long LOOKUP_INTERVAL_MS = 400;

    private static final LogPartition OWNERS = new LogPartition("foxtail-owners", 0);

    private final SharedLog mSharedLog;
    private final JournalReader mReader;
    private final Clock mClock;
    private final Timers mTimers;
    private final NodeLog mNodeLog;
    private final OwnerRecord mSelf;
    private final OwnerMonitor mOwnerMonitor;
    private final VmClient mVmService;
    private final Consumer<Takeover> mOnTakeover;
    private final LongUnaryOperator mRandom;
    private final long mTakeOverDelayMs;

    private long mJitterMs;
    private long mLastActivityMs;
    private long mLastReadMs;
    private long mLatestToken;

    /** Token of this node's last takeover; 0 before the first one. */
    private long mOwnToken;

    private long mLookupOffset;

    /**
     * End of the owners partition after its last foreign or expired record. Neither names an owner;
     * an owner whose record has expired is known by its heartbeats in the journal.
     */
    private long mUnownedEnd;

    private boolean mOwnerResigned;
    private long mReplaceableSinceMs = Long.MAX_VALUE;
    private Optional<OwnerResigned> mLastResigned = Optional.empty();
    private Optional<OwnerHeartbeat> mLastAlive = Optional.empty();
    private long mLastAliveMs;
    private boolean mAttemptInProgress;
    private long mAttemptMs;
    private boolean mIsOwner;
    private boolean mStopped;

    /**
     * Creates the election for a node.
     *
     * @param onTakeover runs when the node becomes the owner
     * @param random returns a random number from 0 to below its argument
     */
    public OwnerElection(
            SharedLog sharedLog,
            JournalReader reader,
            Clock clock,
            Timers timers,
            NodeLog nodeLog,
            String node,
            String address,
            LinkRate link,
            OwnerMonitor ownerMonitor,
            VmClient vmService,
            Consumer<Takeover> onTakeover,
            LongUnaryOperator random) {
        mSharedLog = sharedLog;
        mReader = reader;
        mClock = clock;
        mTimers = timers;
        mNodeLog = nodeLog;
        mRandom = random;
        String incarnation = Long.toHexString(random.applyAsLong(Long.MAX_VALUE));
        mSelf = new OwnerRecord(node, address, incarnation);
        mOwnerMonitor = ownerMonitor;
        mVmService = vmService;
        mOnTakeover = onTakeover;
        mTakeOverDelayMs = link.takeOverDelayMs();
        mJitterMs = mRandom.applyAsLong(MAX_JITTER_MS);
        mLastActivityMs = clock.nowMs() - OwnerState.SILENT.takeOverTimeoutMs();
    }

    /** Starts monitoring the owner. */
    public void start() {
        mOwnerMonitor.onOwnerUnavailable(this::replaceIfDue);
        mTimers.after(CHECK_INTERVAL_MS, this::check);
        lookUpOwner();
    }

    /**
     * Reads the last owner record until the journal has been read to its end once. A node with a
     * narrow link needs seconds to read the journal, whose end holds the owner's heartbeats;
     * without this lookup it could not forward records or queries to the owner until then.
     */
    private void lookUpOwner() {
        if (mReader.isCaughtUp() || mStopped) {
            return;
        }
        mSharedLog.read(OWNERS, mLookupOffset, PageRequest.largest(0), this::handleOwnersRead);
    }

    private void handleOwnersRead(SharedLog.ReadResult result) {
        mTimers.after(LOOKUP_INTERVAL_MS, this::lookUpOwner);
        if (result instanceof SharedLog.Records page && !page.records().isEmpty()) {
            int count = page.records().size();
            mLookupOffset = page.from() + count;
            applyOwnerRecord(page.records().get(count - 1), mLookupOffset);
        } else if (result instanceof SharedLog.RecordsGone gone) {
            mLookupOffset = gone.firstOffset();
        }
    }

    /** Applies a record read from the journal. */
    public void applyRecord(JournalRecord record) {
        if (record instanceof OwnerHeartbeat heartbeat && heartbeat.token() >= mLatestToken) {
            handleHeartbeat(heartbeat);
        } else if (record instanceof OwnerResigned resigned && resigned.token() >= mLatestToken) {
            mLatestToken = resigned.token();
            mOwnerResigned = true;
            mLastResigned = Optional.of(resigned);
        } else if (record instanceof RunsStarted || record instanceof RunsEnded) {
            recordActivity();
        }
    }

    /**
     * Applies an owner's heartbeat. One with an invalid address is a foreign writer's and is
     * ignored, so that it does not hide the real owner.
     */
    private void handleHeartbeat(OwnerHeartbeat heartbeat) {
        Optional<KnownOwner> owner = parseOwner(heartbeat.token(), heartbeat.address());
        if (!mIsOwner && owner.isEmpty()) {
            mNodeLog.line("owner-sign-unreadable").with("token", heartbeat.token()).write();
            return;
        }
        mLatestToken = heartbeat.token();
        mLastAlive = Optional.of(heartbeat);
        mLastAliveMs = mClock.nowMs();
        mOwnerResigned = false;
        recordActivity();
        mOwnerMonitor.setOwner(mIsOwner ? Optional.empty() : owner);
    }

    /**
     * Records activity of the owner. A record read at startup was written earlier, so it counts as
     * older.
     */
    private void recordActivity() {
        mLastActivityMs = mClock.nowMs() - (mReader.isCaughtUp() ? 0 : STARTUP_RECORD_AGE_MS);
    }

    private static Optional<KnownOwner> parseOwner(long token, String address) {
        return IpPort.parse(address).map(a -> new KnownOwner(token, a));
    }

    /**
     * Called when this node is no longer the owner because a higher token is in use, or it stepped
     * down.
     */
    public void ownershipLost() {
        mIsOwner = false;
        mLastActivityMs = mClock.nowMs();
    }

    /** Stops the node from taking ownership. */
    public void stop() {
        mStopped = true;
        mIsOwner = false;
    }

    private void check() {
        mTimers.after(CHECK_INTERVAL_MS, this::check);
        mOwnerMonitor.checkSilence();
        long readMs = mReader.lastReadMs();
        if (readMs - mLastReadMs > MAX_READ_GAP_MS) {
            // While the journal could not be read, the owner's heartbeats could not be seen
            // either.
            mLastActivityMs = Math.max(mLastActivityMs, readMs);
        }
        mLastReadMs = Math.max(mLastReadMs, readMs);
        replaceIfDue();
    }

    private void replaceIfDue() {
        boolean recentlyRead = mClock.nowMs() - mReader.lastReadMs() < MAX_READ_GAP_MS;
        boolean eligible = !mIsOwner && !mAttemptInProgress && !mStopped;
        if (eligible && mReader.isCaughtUp() && recentlyRead && isReplaceable()) {
            refreshAndAttempt();
        }
    }

    /** Whether the owner can be replaced and nodes with wider links have had time to do so. */
    private boolean isReplaceable() {
        long now = mClock.nowMs();
        boolean replaceable = mOwnerResigned || now - lastActivityMs() >= timeoutMs() + mJitterMs;
        mReplaceableSinceMs = replaceable ? Math.min(mReplaceableSinceMs, now) : Long.MAX_VALUE;
        return replaceable && now - mReplaceableSinceMs >= mTakeOverDelayMs;
    }

    /**
     * With a slow store the owner's heartbeats arrive late in the journal but on time on its
     * stream.
     */
    private long lastActivityMs() {
        return Math.max(mLastActivityMs, mOwnerMonitor.lastStoredMs());
    }

    private long timeoutMs() {
        OwnerState state = mOwnerMonitor.state(mLatestToken);
        long storeDelayMs =
                state == OwnerState.GONE ? 0 : STORE_LATENCY_FACTOR * mReader.latencyMs();
        return state.takeOverTimeoutMs() + storeDelayMs;
    }

    /**
     * Reads the journal once more before an attempt. An owner whose store answers are lost does not
     * know that its records are stored, but other nodes can read them.
     */
    private void refreshAndAttempt() {
        mAttemptInProgress = true;
        mAttemptMs = mClock.nowMs();
        mReader.refresh(
                read -> {
                    if (read && isReplaceable() && !mStopped) {
                        attemptTakeover();
                    } else {
                        mAttemptInProgress = false;
                    }
                });
    }

    /**
     * Checks the VM service first: a node that cannot reach it, perhaps because its zone is cut
     * off, yields to others and tries only if no other node does. All nodes check at the same time,
     * for which the service's rate must suffice.
     */
    private void attemptTakeover() {
        long readMs = mClock.nowMs() - mAttemptMs;
        mVmService.checkReachable(
                reachable -> {
                    // The owner may have shown activity in the meantime.
                    boolean yields =
                            mClock.nowMs() - lastActivityMs() < timeoutMs() + UNREACHABLE_YIELD_MS;
                    boolean attempts = reachable || !yields;
                    mNodeLog.line("owner-check")
                            .with("readMs", readMs)
                            .with("tookMs", mClock.nowMs() - mAttemptMs)
                            .with("vmsReachable", reachable)
                            .with("activityMsAgo", mClock.nowMs() - mLastActivityMs)
                            .with("storedMsAgo", mClock.nowMs() - mOwnerMonitor.lastStoredMs())
                            .with("timeoutMs", timeoutMs())
                            .with("attempts", attempts)
                            .write();
                    if (!attempts || mStopped || !isReplaceable()) {
                        mAttemptInProgress = false;
                        return;
                    }
                    long expected = expectedEnd();
                    mSharedLog.appendAt(
                            OWNERS, expected, mSelf.encode(), r -> handleAppendResult(r, expected));
                });
    }

    private void handleAppendResult(AppendResult result, long expectedEnd) {
        mJitterMs = mRandom.applyAsLong(MAX_JITTER_MS);
        mNodeLog.line("owner-try")
                .with("node", mSelf.node())
                .with("expectedToken", expectedEnd)
                .with("outcome", result)
                .write();
        if (result instanceof SharedLog.Stored stored) {
            becomeOwner(stored.firstOffset() + 1);
        } else if (result instanceof SharedLog.EndMoved moved && moved.end() < expectedEnd) {
            mAttemptInProgress = false;
            discardUnissuedToken(expectedEnd, moved.end());
        } else if (result instanceof SharedLog.EndMoved moved) {
            readLastOwnerRecord(moved.end());
        } else if (result instanceof SharedLog.MaybeStored) {
            readLastOwnerRecord(expectedEnd() + 1);
        } else {
            mAttemptInProgress = false;
        }
    }

    /**
     * Expected end of the owners partition if no node has taken ownership. Includes foreign and
     * expired records: otherwise the expected end would never match and no node could become the
     * owner.
     */
    private long expectedEnd() {
        return Math.max(mLatestToken, mUnownedEnd);
    }

    /**
     * Handles a journal record whose token lies beyond the owners partition, so that no owner was
     * given it. Keeping that token would block every takeover and hide the real owner's heartbeats;
     * the real owner gets a full timeout to write its next one.
     */
    private void discardUnissuedToken(long token, long end) {
        if (expectedEnd() == token) {
            mNodeLog.line("owner-sign-unreadable").with("token", token).write();
            mLatestToken = end;
            mUnownedEnd = end;
            mOwnerResigned = false;
            mLastActivityMs = mClock.nowMs();
        }
    }

    /**
     * Handles an append at the wrong end or without an answer: reads the last owner record, which
     * may be this node's own.
     */
    private void readLastOwnerRecord(long end) {
        if (end <= expectedEnd()) {
            mAttemptInProgress = false;
            return;
        }
        mSharedLog.read(
                OWNERS,
                end - 1,
                PageRequest.largest(0),
                r -> {
                    mAttemptInProgress = false;
                    if (r instanceof SharedLog.Records page && !page.records().isEmpty()) {
                        int count = page.records().size();
                        applyOwnerRecord(page.records().get(count - 1), page.from() + count);
                    } else if (r instanceof SharedLog.RecordsGone) {
                        mNodeLog.line("owner-record-expired").with("offset", end - 1).write();
                        mUnownedEnd = Math.max(mUnownedEnd, end);
                    }
                });
    }

    /** Applies the last record of the owners partition. */
    private void applyOwnerRecord(byte[] record, long token) {
        Optional<OwnerRecord> decoded = OwnerRecord.decode(record);
        Optional<KnownOwner> owner = decoded.flatMap(o -> parseOwner(token, o.address()));
        if (decoded.equals(Optional.of(mSelf))) {
            becomeOwner(token);
        } else if (owner.isEmpty()) {
            mUnownedEnd = Math.max(mUnownedEnd, token);
            mNodeLog.line("owner-record-unreadable").with("offset", token - 1).write();
        } else if (token > mLatestToken) {
            // With a slow store the new owner's first heartbeat is late; its stream is available
            // now.
            mLatestToken = token;
            mOwnerResigned = false;
            mLastActivityMs = mClock.nowMs();
            mOwnerMonitor.setOwner(owner);
        }
    }

    /**
     * Takes over with a token, unless this node has done so before: its record may be read again by
     * a delayed lookup. Two sessions with one token would number their appends independently, and
     * the store would take records of one for repetitions of the other's and drop them.
     */
    private void becomeOwner(long token) {
        mAttemptInProgress = false;
        if (mStopped || token <= mOwnToken) {
            return;
        }
        mOwnToken = token;
        mLatestToken = token;
        mIsOwner = true;
        mReplaceableSinceMs = Long.MAX_VALUE;
        mOnTakeover.accept(
                new Takeover(
                        token, arePredecessorCallsFinished(token), areRenewalsFinished(token)));
    }

    /**
     * Whether no earlier owner can have a call to the VM service in flight. An owner that resigned
     * says so in its last record; one whose process ended or that was replaced says so if it could
     * be reached. The latter covers only its own calls, so it must have owned for longer than a
     * lease of its predecessor could last. The tokens must be consecutive, because an owner in
     * between may have left no record in the journal.
     */
    private boolean arePredecessorCallsFinished(long token) {
        long predecessor = token - 1;
        boolean isFirst = predecessor == 0;
        boolean hasResigned =
                mLastResigned
                        .map(l -> l.token() == predecessor && l.vmCallsFinished())
                        .orElse(false);
        return isFirst || hasResigned || hasEndedAfter(predecessor, CallLease.TAKEOVER_WAIT_MS);
    }

    /**
     * Whether no earlier owner still renews worker leases. An owner that resigned or whose process
     * ended renews none, but it must have owned for longer than its own predecessor could go on
     * renewing.
     */
    private boolean areRenewalsFinished(long token) {
        long predecessor = token - 1;
        boolean isFirst = predecessor == 0;
        boolean hasResigned = mLastResigned.map(l -> l.token() == predecessor).orElse(false);
        long waitMs = RenewalWindow.TAKEOVER_WAIT_MS;
        return isFirst
                || hasResigned && hasOwnedFor(predecessor, waitMs)
                || hasEndedAfter(predecessor, waitMs);
    }

    /**
     * Whether the owner with this token has owned for at least this long, and its process reports
     * that it owns no more. Earlier reports don't count, as a process that is about to take over
     * reports the same.
     */
    private boolean hasEndedAfter(long token, long ms) {
        return hasOwnedFor(token, ms)
                && mOwnerMonitor.areVmCallsFinished(
                        token, mLastAliveMs - mLastAlive.get().ownedMs() + ms);
    }

    /** Whether the owner with this token has owned for at least this long. */
    private boolean hasOwnedFor(long token, long ms) {
        return mLastAlive.map(a -> a.token() == token && a.ownedMs() >= ms).orElse(false);
    }
}
