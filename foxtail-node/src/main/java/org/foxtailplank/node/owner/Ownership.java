package org.foxtailplank.node.owner;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongConsumer;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.OwnerAlive;
import org.foxtailplank.job.JournalRecord.OwnerLeft;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.node.peer.OwnerLink;
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
    /** Silence after which an owner is replaced, in milliseconds: some of its own signs. */
    private static final long SILENT_MS = 1700;

    /**
     * The same where the owner's stream has ended or is silent too, in milliseconds: two of its
     * signs in the journal.
     */
    private static final long GONE_MS = 900;

    /** How long a node that does not reach the VM service lets others go ahead. Milliseconds. */
    private static final long YIELD_MS = 3000;

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
    private final OwnerLink mLink;
    private final VmActions mVms;
    private final LongConsumer mTaken;

    private long mSpreadMs;
    private long mSignMs;
    private long mLastReadMs;
    private long mToken;
    private boolean mLeft;
    private boolean mTrying;
    private boolean mOwner;
    private boolean mStopped;

    /** Ownership for a node; {@code taken} is told the token when it becomes the owner. */
    public Ownership(
            SharedLog log,
            JournalReader reader,
            Clock clock,
            Timers timers,
            NodeLog out,
            String node,
            OwnerLink link,
            VmActions vms,
            LongConsumer taken) {
        mLog = log;
        mReader = reader;
        mClock = clock;
        mTimers = timers;
        mOut = out;
        mSelf = new OwnerRecord(node, Long.toHexString(ThreadLocalRandom.current().nextLong()));
        mLink = link;
        mVms = vms;
        mTaken = taken;
        mSpreadMs = ThreadLocalRandom.current().nextLong(SPREAD_MS);
        mSignMs = clock.nowMs() - SILENT_MS;
    }

    /** Begins to watch the owner. */
    public void watch() {
        mTimers.after(CHECK_MS, this::check);
    }

    /** A record of the journal was read. */
    public void seen(JournalRecord record) {
        if (record instanceof OwnerAlive alive && alive.token() >= mToken) {
            mToken = alive.token();
            mLeft = false;
            mSignMs = mClock.nowMs();
            mLink.owner(mOwner ? Optional.empty() : Optional.of(address(alive.address())));
        } else if (record instanceof OwnerLeft left && left.token() >= mToken) {
            mToken = left.token();
            mLeft = true;
            mSignMs = mClock.nowMs() - SILENT_MS;
        } else if (record instanceof RunsStarted || record instanceof RunsEnded) {
            mSignMs = mClock.nowMs();
        }
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        int port = Integer.parseInt(text.substring(colon + 1));
        return new InetSocketAddress(text.substring(0, colon), port);
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
        mLink.check();
        long read = mReader.lastReadMs();
        if (read - mLastReadMs > READ_GAP_MS) {
            // While nothing could be read, the owner's signs could not be seen either.
            mSignMs = Math.max(mSignMs, read);
        }
        mLastReadMs = Math.max(mLastReadMs, read);
        boolean fresh = mClock.nowMs() - read < READ_GAP_MS;
        if (mReader.isCaughtUp() && fresh && isSilent() && !mOwner && !mTrying && !mStopped) {
            tryToTake();
        }
    }

    private boolean isSilent() {
        long patience = mLink.isAlive() ? SILENT_MS : GONE_MS;
        // With a slow store the owner's signs come late in the journal, and early on its stream.
        long sign = mLeft ? mSignMs : Math.max(mSignMs, mLink.storingMs());
        return mClock.nowMs() - sign >= patience + mSpreadMs;
    }

    /**
     * Asks the VM service first: a node that does not reach it, perhaps because its zone is cut
     * off, lets others go ahead, and tries only if none does.
     */
    private void tryToTake() {
        mTrying = true;
        mVms.list(
                vms -> {
                    // An owner may have shown itself meanwhile.
                    boolean patient = mClock.nowMs() - mSignMs < SILENT_MS + YIELD_MS;
                    if (vms.isEmpty() && patient || mStopped || !isSilent()) {
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
                    boolean found =
                            r instanceof SharedLog.Records page
                                    && page.records().size() == 1
                                    && OwnerRecord.decode(page.records().get(0)).equals(mSelf);
                    if (found) {
                        take(end);
                        return;
                    }
                    mTrying = false;
                    if (r instanceof SharedLog.Records page && page.end() > mToken) {
                        mToken = page.end();
                        mSignMs = mClock.nowMs();
                    }
                });
    }

    private void take(long token) {
        mTrying = false;
        if (mStopped) {
            return;
        }
        mToken = token;
        mOwner = true;
        mTaken.accept(token);
    }
}
