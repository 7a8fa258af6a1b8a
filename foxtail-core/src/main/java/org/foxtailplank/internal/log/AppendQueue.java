package org.foxtailplank.internal.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.internal.membership.Backoff;

/**
 * Decides over the appends to one stream: one call at a time, as many groups in it as fit.
 *
 * <p>Guards against a record that stands on the log twice, or that is reported as not appended and
 * stands there: an append whose answer was lost is looked up by its records' ids, from where the
 * stream ended before it, and only appended again once it was not there after the time in which a
 * late call can still take effect. Should the call come even later, the fold voids the second copy
 * by its id.
 */
public final class AppendQueue {

    private final AppendLimits mLimits;
    private final AppendShare mShare;
    private final Backoff mBackoff;
    private final Deque<AppendGroup> mWaiting = new ArrayDeque<>();
    private final Set<Long> mDoubted = new HashSet<>();
    private List<AppendGroup> mBatch = List.of();
    private Phase mPhase = Phase.READY;
    private OptionalLong mEnd = OptionalLong.empty();
    private long mReadFrom;
    private long mNotBefore;
    private long mLateUntil;

    private enum Phase {
        /** No call is under way and none is in doubt. */
        READY,
        /** The end of the stream is asked for. */
        FINDING_END,
        /** A batch is being appended. */
        APPENDING,
        /** The answer of an append was lost, and no read is under way. */
        IN_DOUBT,
        /** The stream is read to look for the batch. */
        READING_BACK
    }

    /** An empty queue. */
    public AppendQueue(AppendLimits limits, AppendShare share, Backoff backoff) {
        mLimits = limits;
        mShare = share;
        mBackoff = backoff;
    }

    /** Takes a group; refuses it when too many wait already. */
    public boolean offer(AppendGroup group) {
        if (mWaiting.size() >= mLimits.groups()) {
            return false;
        }
        mWaiting.add(group);
        return true;
    }

    /** What to do now; a step other than waiting must be answered before the next is asked for. */
    public AppendStep next(long now) {
        boolean inDoubt = mPhase == Phase.IN_DOUBT;
        if (mPhase != Phase.READY && !inDoubt || mWaiting.isEmpty() && !inDoubt) {
            return new AppendStep.Idle();
        }
        if (now < mNotBefore) {
            return new AppendStep.Wait(mNotBefore);
        }
        if (inDoubt) {
            mPhase = Phase.READING_BACK;
            return new AppendStep.ReadBack(mReadFrom);
        }
        if (mEnd.isEmpty()) {
            mPhase = Phase.FINDING_END;
            return new AppendStep.FindEnd();
        }
        if (!mShare.take(now)) {
            return new AppendStep.Wait(mShare.nextAt(now));
        }
        mPhase = Phase.APPENDING;
        mBatch = takeBatch();
        return new AppendStep.Append(mBatch);
    }

    /** The end of the stream was found. */
    public void endFound(long end) {
        mPhase = Phase.READY;
        mEnd = OptionalLong.of(end);
        mBackoff.reset();
    }

    /** The batch was appended. */
    public List<SettledGroup> appended(long first, long end) {
        mEnd = OptionalLong.of(end);
        return settleAppended(first, end);
    }

    /** The batch was certainly not appended. */
    public void refused(long now) {
        mPhase = Phase.READY;
        returnBatch();
        mNotBefore = now + mBackoff.next();
    }

    /** The call that would have appended the batch got no answer. */
    public void answerLost(long now) {
        mPhase = Phase.IN_DOUBT;
        mBatch.forEach(g -> mDoubted.add(g.number()));
        mReadFrom = mEnd.orElseThrow();
        mLateUntil = now + mLimits.lateNanos();
        mNotBefore = now + mBackoff.next();
    }

    /** Reading failed, of the end or of what was to be read back. */
    public void readFailed(long now) {
        mPhase = mPhase == Phase.FINDING_END ? Phase.READY : Phase.IN_DOUBT;
        mNotBefore = now + mBackoff.next();
    }

    /** A page of what was to be read back. */
    public List<SettledGroup> readBack(LogPage page, long now) {
        mPhase = Phase.IN_DOUBT;
        mBackoff.reset();
        if (page.oldest() > mReadFrom) {
            mEnd = OptionalLong.of(page.end());
            return settleUnresolved("records that may hold it expired meanwhile");
        }
        if (page.end() < mReadFrom) {
            mEnd = OptionalLong.of(page.end());
            return settleUnresolved("the log came back shorter");
        }
        RecordId wanted = mBatch.get(0).ids().get(0);
        for (LogItem item : page.items()) {
            if (item.id().equals(wanted)) {
                mEnd = OptionalLong.of(page.end());
                return settleAppended(item.offset(), page.end());
            }
        }
        mReadFrom = page.nextAfter(mReadFrom);
        if (mReadFrom >= page.end()) {
            notThere(now);
        }
        return List.of();
    }

    /** Settles the groups whose time is over. */
    public List<SettledGroup> giveUp(long now) {
        List<SettledGroup> over = new ArrayList<>();
        mWaiting.removeIf(
                g -> {
                    boolean late = g.giveUpAt() <= now;
                    if (late) {
                        over.add(new SettledGroup(g, inVain(g)));
                    }
                    return late;
                });
        boolean idleDoubt = mPhase == Phase.IN_DOUBT;
        if (idleDoubt && mBatch.stream().allMatch(g -> g.giveUpAt() <= now)) {
            over.addAll(settleUnresolved("the platform did not answer in time"));
            // The batch may still come to stand there, so the next one starts from a fresh end.
            mEnd = OptionalLong.empty();
        }
        return over;
    }

    /** A group that was once in doubt stays so: its call may come later than any call should. */
    private AppendOutcome inVain(AppendGroup group) {
        return mDoubted.remove(group.number())
                ? new AppendOutcome.Unresolved("an earlier call for it got no answer")
                : new AppendOutcome.NotAppended("the platform took no append in time");
    }

    /** Whether nothing waits and nothing is under way. */
    public boolean isEmpty() {
        return mWaiting.isEmpty() && mBatch.isEmpty();
    }

    private void notThere(long now) {
        if (now >= mLateUntil) {
            mPhase = Phase.READY;
            mEnd = OptionalLong.of(mReadFrom);
            returnBatch();
        } else {
            mNotBefore = Math.min(mLateUntil, now + mBackoff.next());
        }
    }

    private List<AppendGroup> takeBatch() {
        List<AppendGroup> batch = new ArrayList<>();
        int records = 0;
        long bytes = 0;
        while (!mWaiting.isEmpty()) {
            AppendGroup group = mWaiting.peek();
            records += group.ids().size();
            bytes += group.bytes();
            boolean full = records > mLimits.batchRecords() || bytes > mLimits.batchBytes();
            if (full && !batch.isEmpty()) {
                break;
            }
            batch.add(mWaiting.remove());
        }
        return batch;
    }

    private void returnBatch() {
        for (int i = mBatch.size() - 1; i >= 0; i--) {
            mWaiting.addFirst(mBatch.get(i));
        }
        mBatch = List.of();
    }

    private List<SettledGroup> settleAppended(long first, long end) {
        List<SettledGroup> settled = new ArrayList<>();
        long offset = first;
        for (AppendGroup group : mBatch) {
            settled.add(new SettledGroup(group, new AppendOutcome.Appended(offset, end)));
            offset += group.ids().size();
        }
        endBatch();
        mBackoff.reset();
        return settled;
    }

    private List<SettledGroup> settleUnresolved(String why) {
        List<SettledGroup> settled =
                mBatch.stream()
                        .map(g -> new SettledGroup(g, new AppendOutcome.Unresolved(why)))
                        .toList();
        endBatch();
        return settled;
    }

    private void endBatch() {
        mBatch.forEach(g -> mDoubted.remove(g.number()));
        mBatch = List.of();
        mPhase = Phase.READY;
    }
}
