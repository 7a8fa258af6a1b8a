package org.foxtailplank.internal.idempotency;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.id.RecordId;

/**
 * Decides for one entry what happens to requests that must not be repeated.
 *
 * <p>It has no clock, socket or thread: each call takes the time and returns what to do. Times come
 * from one clock that is never set back while the process runs.
 */
public final class KeyCoordinator {

    /** Claims that one record may hold. */
    public static final int MAX_BATCH = 500;

    private static final int AWAY_AFTER_FAILURES = 2;

    private final Claimant mSelf;
    private final KeyLimits mLimits;
    private final boolean mNewDeployment;
    private final OwnedKeys mOwned;
    private final ClaimTable mTable;
    private final PendingClaims mPending = new PendingClaims();
    private final StreamContinuity mStream = new StreamContinuity();
    private final Map<RequestKey, ClaimTable.Owned> mUnverified = new LinkedHashMap<>();
    private final List<Action> mOut = new ArrayList<>();
    private Optional<RecordId> mOpening = Optional.empty();
    private Instant mLastRecord = Instant.MIN;
    private long mLostEra;
    private long mRecords;
    private int mFailures;
    private boolean mNewerRecords;
    private boolean mOnceReady;

    /**
     * Starts without any knowledge.
     *
     * @param newDeployment whether an empty stream was never written, rather than lost
     */
    public KeyCoordinator(Claimant self, KeyLimits limits, boolean newDeployment) {
        mSelf = self;
        mLimits = limits;
        mNewDeployment = newDeployment;
        mOwned = new OwnedKeys(limits);
        mTable = new ClaimTable(limits.window(), mOwned::forget);
    }

    /** A caller's request arrives at this entry. */
    public List<Action> submit(KeyedRequest request, Instant now) {
        arrive(new PendingClaims.Waiter(request, false), now);
        return drain();
    }

    /** A peer hands over a request of a key that it takes this process to own. */
    public List<Action> handedOver(KeyedRequest request, Claimant owner, Instant now) {
        PendingClaims.Waiter waiter = new PendingClaims.Waiter(request, true);
        boolean issuedElsewhere =
                request.issued().filter(k -> !k.issuer().equals(mSelf)).isPresent();
        if (!owner.equals(mSelf) || issuedElsewhere) {
            // Against a replacement under the same name: what its predecessor ran is not known.
            refuse(waiter, Refusal.OWNER_GONE);
        } else if (request.issued().isPresent()) {
            useIssued(waiter, now);
        } else if (waitsForClaim(request.key())) {
            // The peer has read this entry's claim before this entry has.
            mPending.add(waiter, mOut);
        } else {
            mOwned.ask(request, now, mOut);
        }
        return drain();
    }

    /** Batches the queued claims into one append, unless one is under way. */
    public List<Action> flush(Instant now) {
        // A full memory refuses new keys, but not those that it has taken already.
        if (notReady(now).filter(r -> r != Refusal.FULL).isEmpty()) {
            RecordId id = nextId();
            List<Claim> claims = mPending.send(id, MAX_BATCH);
            if (!claims.isEmpty()) {
                append(id, mTable.era(), ClaimBatch.Opening.NONE, claims, now);
            }
        }
        return drain();
    }

    /** An append has taken effect; its claims count once they are read back. */
    public void appended(RecordId id) {
        mPending.arrived(id);
    }

    /** An append has certainly had no effect. */
    public List<Action> appendRefused(RecordId id) {
        mOpening = mOpening.filter(o -> !o.equals(id));
        mPending.tryAgain(id).forEach(w -> refuse(w, Refusal.PLATFORM_AWAY));
        return drain();
    }

    /** An append may have taken effect; the stream will tell. */
    public void appendLost(RecordId id) {
        mFailures++;
        mOpening = mOpening.filter(o -> !o.equals(id));
        mPending.lost(id);
        mStream.failed();
    }

    /** Offset from which to read next. */
    public long readFrom() {
        return mStream.from();
    }

    /** Whether peers must be asked for their positions before the next read. */
    public boolean positionsNeeded() {
        return mStream.positionsNeeded();
    }

    /** The positions of those peers that answered. */
    public void positions(List<Position> peers) {
        mStream.positions(peers);
    }

    /** How far this entry has read. */
    public Position position() {
        return mStream.position(mTable.era(), mLostEra);
    }

    /** A read failed. */
    public List<Action> readFailed(Instant now) {
        mStream.failed();
        mFailures++;
        if (mFailures >= AWAY_AFTER_FAILURES) {
            giveUp(Refusal.PLATFORM_AWAY);
        }
        return drain();
    }

    /** Folds what was read. */
    public List<Action> read(ClaimsPage page, Instant now) {
        mFailures = 0;
        switch (mStream.judge(page)) {
            case CUT -> cut(Math.max(mLostEra, mTable.era().number()), page.oldest());
            case GAP -> restart(page.oldest());
            case CONTINUES -> fold(page, now);
            default -> throw new IllegalStateException("no such verdict");
        }
        return drain();
    }

    /** A request that was run has ended. */
    public List<Action> ran(long token, KeyedAnswer answer) {
        mOwned.ran(token, answer, mOut);
        return drain();
    }

    /** Lets deadlines and windows pass. */
    public List<Action> tick(Instant now) {
        mPending.expire(now).forEach(w -> refuse(w, Refusal.CLAIM_TOO_LATE));
        mOwned.expire(now, mOut);
        mTable.forget(now);
        // An entry that starts learns the era from any record, so one must stand in each window.
        boolean quiet = mLastRecord.plus(mLimits.window()).isBefore(now);
        if (quiet && mStream.isCaughtUp() && mTable.era().number() > mLostEra) {
            mLastRecord = now;
            append(nextId(), mTable.era(), ClaimBatch.Opening.NONE, List.of(), now);
        }
        return drain();
    }

    /** Why keys that callers choose can't be claimed now; empty when they can. */
    public Optional<Refusal> notReady(Instant now) {
        if (mNewerRecords) {
            return Optional.of(Refusal.NEWER_RECORDS);
        }
        if (mFailures >= AWAY_AFTER_FAILURES) {
            return Optional.of(Refusal.PLATFORM_AWAY);
        }
        if (mTable.isQuarantined(now)) {
            return Optional.of(Refusal.QUARANTINED);
        }
        if (!mStream.isCaughtUp() || mTable.era().number() <= mLostEra) {
            return Optional.of(Refusal.STARTING);
        }
        return isFull() ? Optional.of(Refusal.FULL) : Optional.empty();
    }

    /** Keys that are protected here. */
    public int protectedKeys() {
        return mTable.size() + mOwned.issuedKeys();
    }

    /** Answers that are remembered. */
    public int rememberedAnswers() {
        return mOwned.rememberedAnswers();
    }

    /** Bytes of the answers that are remembered. */
    public long rememberedBytes() {
        return mOwned.rememberedBytes();
    }

    /** Requests that wait for the claim of their key. */
    public int pendingClaims() {
        return mPending.size();
    }

    private void arrive(PendingClaims.Waiter waiter, Instant now) {
        KeyedRequest request = waiter.request();
        if (request.issued().isPresent()) {
            useIssued(waiter, now);
            return;
        }
        if (waitsForClaim(request.key())) {
            mPending.add(waiter, mOut);
            return;
        }
        Optional<ClaimTable.Owned> owned = mTable.owner(request.key(), now);
        if (owned.isPresent()) {
            settle(waiter, owned.get(), now);
        } else {
            // A reader that was ready waits for one failed call to be made good.
            Optional<Refusal> refusal =
                    notReady(now).filter(r -> r != Refusal.STARTING || !mOnceReady);
            if (refusal.isPresent()) {
                refuse(waiter, refusal.get());
            } else {
                mPending.add(waiter, mOut);
            }
        }
    }

    private void useIssued(PendingClaims.Waiter waiter, Instant now) {
        KeyedRequest request = waiter.request();
        IssuedKey key = request.issued().orElseThrow();
        if (!key.issuer().equals(mSelf)) {
            mOut.add(new Action.HandOver(request.token(), key.issuer()));
            return;
        }
        if (!mOwned.holds(request.key())) {
            if (!key.expires().isAfter(now)) {
                refuse(waiter, Refusal.KEY_EXPIRED);
                return;
            }
            if (isFull()) {
                refuse(waiter, Refusal.FULL);
                return;
            }
            Instant until = key.expires().plus(mLimits.window());
            mOwned.takeIssued(request.key(), request.fingerprint(), until);
        }
        mOwned.ask(request, now, mOut);
    }

    private void settle(PendingClaims.Waiter waiter, ClaimTable.Owned owned, Instant now) {
        KeyedRequest request = waiter.request();
        if (!owned.fingerprint().equals(request.fingerprint())) {
            refuse(waiter, Refusal.KEY_REUSED);
        } else if (owned.claimant().equals(mSelf)) {
            mOwned.ask(request, now, mOut);
        } else if (waiter.handedOver()) {
            refuse(waiter, Refusal.OWNER_GONE);
        } else {
            mOut.add(new Action.HandOver(request.token(), owned.claimant()));
        }
    }

    private void fold(ClaimsPage page, Instant now) {
        Era before = mTable.era();
        for (ClaimsPage.Stored stored : page.records()) {
            if (mStream.isNew(stored)) {
                mStream.passed(stored);
                mLastRecord = now;
                mNewerRecords |= stored.batch().isEmpty();
                stored.batch().ifPresent(b -> fold(stored.id(), b, now));
            }
        }
        mStream.finish(page);
        if (!before.equals(mTable.era()) && mTable.isQuarantined(now)) {
            giveUp(Refusal.QUARANTINED);
        }
        if (mStream.isCaughtUp()) {
            caughtUp(page, now);
        }
    }

    private void fold(RecordId id, ClaimBatch batch, Instant now) {
        ClaimTable.Verdict verdict = mTable.apply(batch, now);
        if (batch.writer().equals(mSelf)) {
            mPending.arrived(id);
        }
        for (Claim claim : batch.claims()) {
            if (verdict == ClaimTable.Verdict.APPLIED) {
                mTable.owner(claim.key(), now).ifPresent(o -> owned(claim.key(), o, now));
            } else if (batch.writer().equals(mSelf)) {
                mPending.resolve(claim.key()).forEach(w -> refuse(w, Refusal.QUARANTINED));
            }
        }
    }

    private void owned(RequestKey key, ClaimTable.Owned owned, Instant now) {
        if (owned.claimant().equals(mSelf)) {
            mUnverified.put(key, owned);
        } else {
            mPending.resolve(key).forEach(w -> settle(w, owned, now));
        }
    }

    /**
     * Takes the keys that this entry has claimed first.
     *
     * <p>Against an append that was under way when the stream lost records: it lands where a lost
     * claim of the same key stood, and looks like the first. So a claim counts only when all that
     * peers have read was found in the stream as well.
     */
    private void takeVerified(Instant now) {
        Map<RequestKey, ClaimTable.Owned> verified = new LinkedHashMap<>(mUnverified);
        mUnverified.clear();
        verified.forEach(
                (key, owned) -> {
                    mOwned.take(key, owned.fingerprint());
                    mPending.resolve(key).forEach(w -> settle(w, owned, now));
                });
    }

    private boolean waitsForClaim(RequestKey key) {
        return mPending.holds(key) || mUnverified.containsKey(key);
    }

    private void caughtUp(ClaimsPage page, Instant now) {
        mPending.lostAppend()
                .ifPresent(
                        id -> mPending.tryAgain(id).forEach(w -> refuse(w, Refusal.PLATFORM_AWAY)));
        if (mStream.isBehindPeers(mTable.era())) {
            cut(Math.max(mTable.era().number(), mStream.furthestEra()), page.oldest());
            return;
        }
        takeVerified(now);
        mOnceReady = mTable.era().number() > mLostEra;
        if (!mOnceReady && mOpening.isEmpty()) {
            boolean first = mNewDeployment && mLostEra == 0 && page.end() == 1;
            Era era = new Era(Math.max(mLostEra + 1, now.toEpochMilli()), mSelf.incarnation());
            RecordId id = nextId();
            mOpening = Optional.of(id);
            append(
                    id,
                    era,
                    first ? ClaimBatch.Opening.FIRST : ClaimBatch.Opening.AFTER_LOSS,
                    List.of(),
                    now);
        }
    }

    /** Records that were read are gone: nothing is claimed until a later era is open. */
    private void cut(long lostEra, long oldest) {
        mLostEra = lostEra;
        mOpening = Optional.empty();
        restart(oldest);
    }

    private void restart(long oldest) {
        mStream.restartAt(oldest);
        mOnceReady = false;
        mUnverified.clear();
        giveUp(Refusal.STARTING);
    }

    private void giveUp(Refusal refusal) {
        mPending.giveUp().forEach(w -> refuse(w, refusal));
    }

    private void refuse(PendingClaims.Waiter waiter, Refusal refusal) {
        mOut.add(new Action.Reply(waiter.request().token(), refusal.answer(mLimits.retryAfter())));
    }

    private void append(
            RecordId id, Era era, ClaimBatch.Opening opening, List<Claim> claims, Instant now) {
        mOut.add(new Action.Append(id, new ClaimBatch(mSelf, era, opening, now, claims)));
    }

    private RecordId nextId() {
        return RecordId.of(mSelf.node() + "." + mSelf.incarnation() + "." + mRecords++);
    }

    private boolean isFull() {
        return protectedKeys() + mPending.size() >= mLimits.maxKeys();
    }

    private List<Action> drain() {
        List<Action> out = List.copyOf(mOut);
        mOut.clear();
        return out;
    }

    /** The state in words, for an exploration of all states. */
    String describe() {
        return mTable.describe()
                + mOwned.describe()
                + mPending.describe()
                + mStream.describe()
                + mOpening
                + mLostEra
                + ","
                + mFailures;
    }
}
