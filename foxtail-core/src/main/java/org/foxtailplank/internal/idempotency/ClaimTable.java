package org.foxtailplank.internal.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The owners of keys, built by applying the claims stream in offset order.
 *
 * <p>A claim is the first of its key if this reader holds no other. A key expires one window after
 * this reader <em>read</em> its last claim, first or not. Two readers whose windows end at
 * different times therefore never treat two consecutive claims both as first, because each reads
 * the earlier claim before the later one. Writers' clocks only let a starting reader skip claims
 * older than two windows, so a clock error of one window is harmless.
 */
public final class ClaimTable {

    private final Duration mWindow;
    private final Consumer<RequestKey> mOnExpired;
    private final LinkedHashMap<RequestKey, Ownership> mOwnerships = new LinkedHashMap<>();
    private Era mEra = Era.NONE;
    private Instant mQuarantinedUntil = Instant.MIN;

    /** Creates a table that protects keys for a window and reports the keys that expire. */
    public ClaimTable(Duration window, Consumer<RequestKey> onExpired) {
        mWindow = window;
        mOnExpired = onExpired;
    }

    /** Whether a record was applied. */
    public enum ApplyResult {
        /** The claims of the record were applied. */
        APPLIED,
        /** The record belongs to another era and was ignored. */
        OTHER_ERA
    }

    /**
     * The ownership of a key, established by its first claim.
     *
     * @param claimant owner of the key
     * @param fingerprint fingerprint of the request in the first claim
     * @param expiresAt time at which this reader removes the key
     */
    public record Ownership(Claimant claimant, Fingerprint fingerprint, Instant expiresAt) {}

    /** Applies the next record of the stream. */
    public ApplyResult apply(ClaimBatch batch, Instant now) {
        removeExpired(now);
        if (!enterEra(batch, now)) {
            return ApplyResult.OTHER_ERA;
        }
        Instant expiresAt = expiry(batch.time(), now);
        if (expiresAt.isAfter(now)) {
            batch.claims().forEach(c -> applyClaim(c, batch.writer(), expiresAt));
        }
        return ApplyResult.APPLIED;
    }

    /** Removes the keys whose windows have ended. */
    public void removeExpired(Instant now) {
        Iterator<Map.Entry<RequestKey, Ownership>> it = mOwnerships.entrySet().iterator();
        while (it.hasNext()) {
            Map.Entry<RequestKey, Ownership> oldest = it.next();
            if (oldest.getValue().expiresAt().isAfter(now)) {
                return;
            }
            it.remove();
            mOnExpired.accept(oldest.getKey());
        }
    }

    /** Returns the ownership of a key, unless it has none or has expired. */
    public Optional<Ownership> owner(RequestKey key, Instant now) {
        return Optional.ofNullable(mOwnerships.get(key)).filter(o -> o.expiresAt().isAfter(now));
    }

    /** Returns the current era. */
    public Era era() {
        return mEra;
    }

    /**
     * Whether a key without a claim may have run in an earlier era.
     *
     * <p>If the stream lost records, a key that ran before the loss looks unclaimed and would run
     * again. The quarantine lasts one window, until the protection of all such keys has ended.
     */
    public boolean isQuarantined(Instant now) {
        return now.isBefore(mQuarantinedUntil);
    }

    /** Returns the end of the quarantine. */
    public Instant quarantinedUntil() {
        return mQuarantinedUntil;
    }

    /** Returns the number of keys. */
    public int size() {
        return mOwnerships.size();
    }

    private boolean enterEra(ClaimBatch batch, Instant now) {
        Era era = batch.era();
        if (era.equals(mEra)) {
            return true;
        }
        boolean first = mEra.equals(Era.NONE);
        boolean accepted =
                switch (batch.opening()) {
                    case FIRST -> first;
                    case AFTER_LOSS, NONE -> era.number() > mEra.number();
                };
        if (!accepted) {
            return false;
        }
        // If the record doesn't open its era, the opening record has expired. That is normal for a
        // reader that has just started, but a loss for one that knew an earlier era.
        boolean loss = batch.opening() == ClaimBatch.Opening.AFTER_LOSS || !first;
        if (loss) {
            mQuarantinedUntil = expiry(batch.time(), now);
        }
        mEra = era;
        return true;
    }

    private void applyClaim(Claim claim, Claimant writer, Instant expiresAt) {
        Ownership known = mOwnerships.remove(claim.key());
        Ownership ownership =
                known == null
                        ? new Ownership(writer, claim.fingerprint(), expiresAt)
                        : new Ownership(
                                known.claimant(),
                                known.fingerprint(),
                                laterExpiry(known, expiresAt));
        mOwnerships.put(claim.key(), ownership);
    }

    private Instant expiry(Instant written, Instant now) {
        Instant limitByWriter = written.plus(mWindow.multipliedBy(2));
        Instant limitByReader = now.plus(mWindow);
        return limitByWriter.isBefore(limitByReader) ? limitByWriter : limitByReader;
    }

    private static Instant laterExpiry(Ownership known, Instant expiresAt) {
        return known.expiresAt().isAfter(expiresAt) ? known.expiresAt() : expiresAt;
    }

    /** Returns the state as text, to compare states in the exploration tests. */
    String describe() {
        StringBuilder out = new StringBuilder().append(mEra).append(mQuarantinedUntil);
        mOwnerships.forEach(
                (k, o) -> out.append(k.digest()).append(o.claimant()).append(o.expiresAt()));
        return out.toString();
    }
}
