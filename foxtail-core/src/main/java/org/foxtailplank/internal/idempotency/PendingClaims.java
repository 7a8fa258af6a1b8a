package org.foxtailplank.internal.idempotency;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.id.RecordId;

/** Keys that this entry is about to claim or has claimed and not yet read back. */
final class PendingClaims {

    /** Appends that a key gets before its requests are refused. */
    private static final int MAX_TRIES = 2;

    /**
     * A request that waits for the claim of its key.
     *
     * @param request the request
     * @param handedOver whether another entry took this one for the owner
     */
    record Waiter(KeyedRequest request, boolean handedOver) {}

    private static final class Pending {
        private final Fingerprint mFingerprint;
        private final List<Waiter> mWaiters = new ArrayList<>();
        private int mTries;

        private Pending(Fingerprint fingerprint) {
            mFingerprint = fingerprint;
        }
    }

    private final Map<RequestKey, Pending> mPending = new LinkedHashMap<>();
    private final Set<RequestKey> mQueued = new LinkedHashSet<>();
    private List<RequestKey> mSent = List.of();
    private Optional<RecordId> mSentId = Optional.empty();
    private boolean mLost;

    boolean holds(RequestKey key) {
        return mPending.containsKey(key);
    }

    int size() {
        return mPending.size();
    }

    /** Adds a request; its key is queued unless it is pending already. */
    void add(Waiter waiter, List<Action> out) {
        KeyedRequest request = waiter.request();
        Pending pending = mPending.get(request.key());
        if (pending == null) {
            pending = new Pending(request.fingerprint());
            mPending.put(request.key(), pending);
            mQueued.add(request.key());
        }
        if (pending.mFingerprint.equals(request.fingerprint())) {
            pending.mWaiters.add(waiter);
        } else {
            out.add(new Action.Reply(request.token(), Refusal.KEY_REUSED.answer()));
        }
    }

    /** Takes the queued claims for one append; empty while another append is under way. */
    List<Claim> send(RecordId id, int limit) {
        if (mSentId.isPresent() || mQueued.isEmpty()) {
            return List.of();
        }
        List<Claim> claims = new ArrayList<>();
        mSent = new ArrayList<>();
        Iterator<RequestKey> queued = mQueued.iterator();
        while (queued.hasNext() && claims.size() < limit) {
            RequestKey key = queued.next();
            queued.remove();
            Pending pending = mPending.get(key);
            if (pending.mWaiters.isEmpty()) {
                mPending.remove(key);
            } else {
                pending.mTries++;
                mSent.add(key);
                claims.add(new Claim(key, pending.mFingerprint));
            }
        }
        mSentId = claims.isEmpty() ? Optional.empty() : Optional.of(id);
        mLost = false;
        return claims;
    }

    /** The append under way has ended well, or was read back. */
    void arrived(RecordId id) {
        if (mSentId.equals(Optional.of(id))) {
            mSentId = Optional.empty();
            mLost = false;
        }
    }

    /** The append under way may or may not have taken effect. */
    void lost(RecordId id) {
        mLost = mLost || mSentId.equals(Optional.of(id));
    }

    /** The append under way has had no effect, or none that the stream shows. */
    List<Waiter> tryAgain(RecordId id) {
        if (!mSentId.equals(Optional.of(id))) {
            return List.of();
        }
        arrived(id);
        List<Waiter> refused = new ArrayList<>();
        for (RequestKey key : mSent) {
            Pending pending = mPending.get(key);
            if (pending == null) {
                continue;
            }
            if (pending.mTries >= MAX_TRIES || pending.mWaiters.isEmpty()) {
                mPending.remove(key);
                refused.addAll(pending.mWaiters);
            } else {
                // A late effect of the first append is harmless: a second claim of the same
                // claimant changes nothing.
                mQueued.add(key);
            }
        }
        return refused;
    }

    /** The append whose answer was lost and that has not been read back. */
    Optional<RecordId> lostAppend() {
        return mLost ? mSentId : Optional.empty();
    }

    /** Ends the wait for a key whose owner is known now. */
    List<Waiter> resolve(RequestKey key) {
        Pending pending = mPending.remove(key);
        mQueued.remove(key);
        return pending == null ? List.of() : pending.mWaiters;
    }

    /** Gives up on all requests; claims under way may still take effect, and are then free. */
    List<Waiter> giveUp() {
        List<Waiter> waiters = new ArrayList<>();
        mPending.values().forEach(p -> waiters.addAll(p.mWaiters));
        mPending.clear();
        mQueued.clear();
        mSentId = Optional.empty();
        mLost = false;
        return waiters;
    }

    /** Takes out the requests whose deadlines have passed. */
    List<Waiter> expire(Instant now) {
        List<Waiter> late = new ArrayList<>();
        for (Pending pending : mPending.values()) {
            pending.mWaiters.removeIf(w -> !w.request().deadline().isAfter(now) && late.add(w));
        }
        return late;
    }

    /** The state in words, for an exploration of all states. */
    String describe() {
        StringBuilder out = new StringBuilder();
        mPending.forEach(
                (k, p) -> out.append(k.digest()).append(p.mTries).append(p.mWaiters.size()));
        return out.append(mQueued.size())
                .append(mSent.size())
                .append(mSentId)
                .append(mLost)
                .toString();
    }
}
