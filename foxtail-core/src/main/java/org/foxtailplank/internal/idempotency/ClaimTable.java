package org.foxtailplank.internal.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Who owns which key, folded from the claims stream in offset order.
 *
 * <p>A claim is the first of its key when this reader knows no other. A reader forgets a key one
 * window after it <em>read</em> the last claim of it, whoever made that claim and whether or not it
 * was the first. So two readers whose windows end at different moments still can't both take
 * neighbouring claims for first ones: each must read the earlier before the later. Writers' clocks
 * only let a starting reader skip what is older than two windows, so they may be wrong by one.
 */
public final class ClaimTable {

    private final Duration mWindow;
    private final Consumer<RequestKey> mOnForgotten;
    private final LinkedHashMap<RequestKey, Owned> mOwned = new LinkedHashMap<>();
    private Era mEra = Era.NONE;
    private Instant mQuarantinedUntil = Instant.MIN;

    /** A table that protects each key for a window and tells which keys it forgets. */
    public ClaimTable(Duration window, Consumer<RequestKey> onForgotten) {
        mWindow = window;
        mOnForgotten = onForgotten;
    }

    /** Whether a record counts. */
    public enum Verdict {
        /** Its claims were folded. */
        APPLIED,
        /** It was written under another era, and changes nothing. */
        OTHER_ERA
    }

    /**
     * The first claim of a key.
     *
     * @param claimant its owner
     * @param fingerprint request that the key came with first
     * @param until when this reader forgets it
     */
    public record Owned(Claimant claimant, Fingerprint fingerprint, Instant until) {}

    /** Folds the next record. */
    public Verdict apply(ClaimBatch batch, Instant now) {
        forget(now);
        if (!enter(batch, now)) {
            return Verdict.OTHER_ERA;
        }
        Instant until = protectedUntil(batch.time(), now);
        if (until.isAfter(now)) {
            batch.claims().forEach(c -> claim(c, batch.writer(), until));
        }
        return Verdict.APPLIED;
    }

    /** Forgets the keys whose windows have passed. */
    public void forget(Instant now) {
        Iterator<Map.Entry<RequestKey, Owned>> it = mOwned.entrySet().iterator();
        while (it.hasNext()) {
            Map.Entry<RequestKey, Owned> oldest = it.next();
            if (oldest.getValue().until().isAfter(now)) {
                return;
            }
            it.remove();
            mOnForgotten.accept(oldest.getKey());
        }
    }

    /** The owner of a key, if this reader knows one. */
    public Optional<Owned> owner(RequestKey key, Instant now) {
        return Optional.ofNullable(mOwned.get(key)).filter(o -> o.until().isAfter(now));
    }

    /** The era in force. */
    public Era era() {
        return mEra;
    }

    /**
     * Whether a key that looks new may have run in an earlier era.
     *
     * <p>Against a stream that lost records: a key claimed and run before the loss would look
     * unclaimed and run again. After one window no such key is protected any longer.
     */
    public boolean isQuarantined(Instant now) {
        return now.isBefore(mQuarantinedUntil);
    }

    /** When keys may be claimed again. */
    public Instant quarantinedUntil() {
        return mQuarantinedUntil;
    }

    /** Keys held. */
    public int size() {
        return mOwned.size();
    }

    private boolean enter(ClaimBatch batch, Instant now) {
        Era era = batch.era();
        if (era.equals(mEra)) {
            return true;
        }
        boolean first = mEra.equals(Era.NONE);
        boolean taken =
                switch (batch.opening()) {
                    case FIRST -> first;
                    case AFTER_LOSS, NONE -> era.number() > mEra.number();
                };
        if (!taken) {
            return false;
        }
        // A record of an unknown era that doesn't open it shows that the opening has expired, which
        // is harmless to a reader that starts, and a loss to one that knew an earlier era.
        boolean loss = batch.opening() == ClaimBatch.Opening.AFTER_LOSS || !first;
        if (loss) {
            mQuarantinedUntil = protectedUntil(batch.time(), now);
        }
        mEra = era;
        return true;
    }

    private void claim(Claim claim, Claimant writer, Instant until) {
        Owned known = mOwned.remove(claim.key());
        Owned owned =
                known == null
                        ? new Owned(writer, claim.fingerprint(), until)
                        : new Owned(known.claimant(), known.fingerprint(), later(known, until));
        mOwned.put(claim.key(), owned);
    }

    private Instant protectedUntil(Instant written, Instant now) {
        Instant byWriter = written.plus(mWindow.multipliedBy(2));
        Instant byReader = now.plus(mWindow);
        return byWriter.isBefore(byReader) ? byWriter : byReader;
    }

    private static Instant later(Owned known, Instant until) {
        return known.until().isAfter(until) ? known.until() : until;
    }

    /** The state in words, for an exploration of all states. */
    String describe() {
        StringBuilder out = new StringBuilder().append(mEra).append(mQuarantinedUntil);
        mOwned.forEach((k, o) -> out.append(k.digest()).append(o.claimant()).append(o.until()));
        return out.toString();
    }
}
