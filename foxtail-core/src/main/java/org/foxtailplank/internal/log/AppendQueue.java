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
 * State machine for the appends to one stream. Sends one batch of groups at a time.
 *
 * <p>Prevents duplicate records, and appended records that are reported as not appended. If the
 * response to an append is lost, the queue reads the stream from its previous end and searches for
 * the batch by record id. It retries the append only if the batch is still missing after the time
 * in which a delayed call can take effect. If the call is delayed even longer, the fold voids the
 * duplicate by its id.
 */
public final class AppendQueue {

    private final AppendLimits mLimits;
    private final AppendRateLimiter mRateLimiter;
    private final Backoff mBackoff;
    private final Deque<AppendGroup> mWaiting = new ArrayDeque<>();
    private final Set<Long> mInDoubt = new HashSet<>();
    private List<AppendGroup> mBatch = List.of();
    private Phase mPhase = Phase.READY;
    private OptionalLong mEnd = OptionalLong.empty();
    private long mReadFrom;
    private long mNotBefore;
    private long mLateCallUntil;

    private enum Phase {
        /** No call is pending or in doubt. */
        READY,
        /** The end offset of the stream is being read. */
        FINDING_END,
        /** A batch is being appended. */
        APPENDING,
        /** The response to an append was lost, and no read is pending. */
        IN_DOUBT,
        /** The stream is being read to find the batch. */
        READING_BACK
    }

    /** Creates an empty queue. */
    public AppendQueue(AppendLimits limits, AppendRateLimiter rateLimiter, Backoff backoff) {
        mLimits = limits;
        mRateLimiter = rateLimiter;
        mBackoff = backoff;
    }

    /** Adds a group; returns false if the queue is full. */
    public boolean offer(AppendGroup group) {
        if (mWaiting.size() >= mLimits.groups()) {
            return false;
        }
        mWaiting.add(group);
        return true;
    }

    /** Returns the next step; unless it is Wait or Idle, report its result before the next call. */
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
        if (!mRateLimiter.tryAcquire(now)) {
            return new AppendStep.Wait(mRateLimiter.nextPermitAt(now));
        }
        mPhase = Phase.APPENDING;
        mBatch = takeBatch();
        return new AppendStep.Append(mBatch);
    }

    /** Reports the end offset of the stream. */
    public void endFound(long end) {
        mPhase = Phase.READY;
        mEnd = OptionalLong.of(end);
        mBackoff.reset();
    }

    /** Reports that the batch was appended. */
    public List<GroupResult> appended(long first, long end) {
        mEnd = OptionalLong.of(end);
        return settleAppended(first, end);
    }

    /** Reports that the batch was certainly not appended. */
    public void refused(long now) {
        mPhase = Phase.READY;
        returnBatch();
        mNotBefore = now + mBackoff.next();
    }

    /** Reports that the append call of the batch got no response. */
    public void responseLost(long now) {
        mPhase = Phase.IN_DOUBT;
        mBatch.forEach(g -> mInDoubt.add(g.number()));
        mReadFrom = mEnd.orElseThrow();
        mLateCallUntil = now + mLimits.lateCallNanos();
        mNotBefore = now + mBackoff.next();
    }

    /** Reports a failure to read the end offset or the stream. */
    public void readFailed(long now) {
        mPhase = mPhase == Phase.FINDING_END ? Phase.READY : Phase.IN_DOUBT;
        mNotBefore = now + mBackoff.next();
    }

    /** Reports a page of the stream, read to find the batch. */
    public List<GroupResult> readBack(LogPage page, long now) {
        mPhase = Phase.IN_DOUBT;
        mBackoff.reset();
        if (page.oldest() > mReadFrom) {
            mEnd = OptionalLong.of(page.end());
            return settleUnresolved("records that may include the group have expired");
        }
        if (page.end() < mReadFrom) {
            mEnd = OptionalLong.of(page.end());
            return settleUnresolved("the log came back shorter");
        }
        RecordId wanted = mBatch.get(0).ids().get(0);
        for (LoggedRecord record : page.records()) {
            if (record.id().equals(wanted)) {
                mEnd = OptionalLong.of(page.end());
                return settleAppended(record.offset(), page.end());
            }
        }
        mReadFrom = page.nextAfter(mReadFrom);
        if (mReadFrom >= page.end()) {
            batchNotFound(now);
        }
        return List.of();
    }

    /** Removes groups whose deadline has passed, and returns their outcomes. */
    public List<GroupResult> removeExpired(long now) {
        List<GroupResult> results = new ArrayList<>();
        mWaiting.removeIf(
                g -> {
                    boolean expired = g.deadline() <= now;
                    if (expired) {
                        results.add(new GroupResult(g, expiredOutcome(g)));
                    }
                    return expired;
                });
        boolean inDoubt = mPhase == Phase.IN_DOUBT;
        if (inDoubt && mBatch.stream().allMatch(g -> g.deadline() <= now)) {
            results.addAll(settleUnresolved("the platform did not answer in time"));
            // The batch may still be appended, so the end offset must be read again.
            mEnd = OptionalLong.empty();
        }
        return results;
    }

    /** Returns the outcome of an expired group; one that was ever in doubt remains unresolved. */
    private AppendOutcome expiredOutcome(AppendGroup group) {
        return mInDoubt.remove(group.number())
                ? new AppendOutcome.Unresolved(
                        "an earlier append call for the group got no response")
                : new AppendOutcome.NotAppended("the platform accepted no append in time");
    }

    /** Returns whether no groups are queued or pending. */
    public boolean isEmpty() {
        return mWaiting.isEmpty() && mBatch.isEmpty();
    }

    private void batchNotFound(long now) {
        if (now >= mLateCallUntil) {
            mPhase = Phase.READY;
            mEnd = OptionalLong.of(mReadFrom);
            returnBatch();
        } else {
            mNotBefore = Math.min(mLateCallUntil, now + mBackoff.next());
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

    private List<GroupResult> settleAppended(long first, long end) {
        List<GroupResult> results = new ArrayList<>();
        long offset = first;
        for (AppendGroup group : mBatch) {
            results.add(new GroupResult(group, new AppendOutcome.Appended(offset, end)));
            offset += group.ids().size();
        }
        endBatch();
        mBackoff.reset();
        return results;
    }

    private List<GroupResult> settleUnresolved(String reason) {
        List<GroupResult> results =
                mBatch.stream()
                        .map(g -> new GroupResult(g, new AppendOutcome.Unresolved(reason)))
                        .toList();
        endBatch();
        return results;
    }

    private void endBatch() {
        mBatch.forEach(g -> mInDoubt.remove(g.number()));
        mBatch = List.of();
        mPhase = Phase.READY;
    }
}
