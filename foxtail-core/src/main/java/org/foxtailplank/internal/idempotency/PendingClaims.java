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

/** Keys whose claims are queued, or appended and not yet read back. */
final class PendingClaims {

    /** Number of appends per key before its requests are refused. */
    private static final int MAX_APPENDS = 2;

    /**
     * A request that waits for the claim of its key.
     *
     * @param request waiting request
     * @param handedOver whether a peer handed the request over to this entry
     */
    record Waiter(KeyedRequest request, boolean handedOver) {}

    private static final class Pending {
        private final Fingerprint mFingerprint;
        private final List<Waiter> mWaiters = new ArrayList<>();
        private int mAppends;

        private Pending(Fingerprint fingerprint) {
            mFingerprint = fingerprint;
        }
    }

    private final Map<RequestKey, Pending> mPending = new LinkedHashMap<>();
    private final Set<RequestKey> mQueued = new LinkedHashSet<>();
    private List<RequestKey> mInFlightKeys = List.of();
    private Optional<RecordId> mInFlightId = Optional.empty();
    private boolean mInFlightUncertain;

    boolean contains(RequestKey key) {
        return mPending.containsKey(key);
    }

    int size() {
        return mPending.size();
    }

    /** Adds a request, and queues its key unless it is already pending. */
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

    /** Takes queued claims for one append; empty while another append is in flight. */
    List<Claim> startAppend(RecordId id, int limit) {
        if (mInFlightId.isPresent() || mQueued.isEmpty()) {
            return List.of();
        }
        List<Claim> claims = new ArrayList<>();
        mInFlightKeys = new ArrayList<>();
        Iterator<RequestKey> queued = mQueued.iterator();
        while (queued.hasNext() && claims.size() < limit) {
            RequestKey key = queued.next();
            queued.remove();
            Pending pending = mPending.get(key);
            if (pending.mWaiters.isEmpty()) {
                mPending.remove(key);
            } else {
                pending.mAppends++;
                mInFlightKeys.add(key);
                claims.add(new Claim(key, pending.mFingerprint));
            }
        }
        mInFlightId = claims.isEmpty() ? Optional.empty() : Optional.of(id);
        mInFlightUncertain = false;
        return claims;
    }

    /** Marks the append in flight as stored. */
    void appendConfirmed(RecordId id) {
        if (mInFlightId.equals(Optional.of(id))) {
            mInFlightId = Optional.empty();
            mInFlightUncertain = false;
        }
    }

    /** Marks the append in flight as possibly stored. */
    void appendUncertain(RecordId id) {
        mInFlightUncertain = mInFlightUncertain || mInFlightId.equals(Optional.of(id));
    }

    /** Queues the keys of an append that was not stored again; returns the requests to refuse. */
    List<Waiter> requeueFailedAppend(RecordId id) {
        if (!mInFlightId.equals(Optional.of(id))) {
            return List.of();
        }
        appendConfirmed(id);
        List<Waiter> refused = new ArrayList<>();
        for (RequestKey key : mInFlightKeys) {
            Pending pending = mPending.get(key);
            if (pending == null) {
                continue;
            }
            if (pending.mAppends >= MAX_APPENDS || pending.mWaiters.isEmpty()) {
                mPending.remove(key);
                refused.addAll(pending.mWaiters);
            } else {
                // If the first append is stored late, the second claim by the same claimant has
                // no effect.
                mQueued.add(key);
            }
        }
        return refused;
    }

    /** Returns the append that may be stored and has not been read back. */
    Optional<RecordId> uncertainAppend() {
        return mInFlightUncertain ? mInFlightId : Optional.empty();
    }

    /** Removes a key whose owner is now known; returns its waiting requests. */
    List<Waiter> resolve(RequestKey key) {
        Pending pending = mPending.remove(key);
        mQueued.remove(key);
        return pending == null ? List.of() : pending.mWaiters;
    }

    /** Removes all keys and returns their requests; claims in flight may still be stored. */
    List<Waiter> removeAll() {
        List<Waiter> waiters = new ArrayList<>();
        mPending.values().forEach(p -> waiters.addAll(p.mWaiters));
        mPending.clear();
        mQueued.clear();
        mInFlightId = Optional.empty();
        mInFlightUncertain = false;
        return waiters;
    }

    /** Removes and returns the requests whose deadlines have passed. */
    List<Waiter> removeExpired(Instant now) {
        List<Waiter> expired = new ArrayList<>();
        for (Pending pending : mPending.values()) {
            pending.mWaiters.removeIf(w -> !w.request().deadline().isAfter(now) && expired.add(w));
        }
        return expired;
    }

    /** Returns the state as text, to compare states in the exploration tests. */
    String describe() {
        StringBuilder out = new StringBuilder();
        mPending.forEach(
                (k, p) -> out.append(k.digest()).append(p.mAppends).append(p.mWaiters.size()));
        return out.append(mQueued.size())
                .append(mInFlightKeys.size())
                .append(mInFlightId)
                .append(mInFlightUncertain)
                .toString();
    }
}
