package org.foxtailplank.internal.idempotency;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.id.RecordId;

/**
 * Decides how one entry handles requests with idempotency keys.
 *
 * <p>It uses no clock, socket or thread: callers pass in the time and perform the returned actions.
 * All times must come from one clock that does not go back while the process runs.
 */
public final class KeyCoordinator {

    /** Maximum number of claims in one record. */
    public static final int MAX_BATCH = 500;

    private static final int MAX_CONSECUTIVE_FAILURES = 2;

    private final Claimant mSelf;
    private final KeyLimits mLimits;
    private final boolean mNewDeployment;
    private final OwnedKeys mOwnedKeys;
    private final ClaimTable mClaimTable;
    private final PendingClaims mPending = new PendingClaims();
    private final StreamContinuity mContinuity = new StreamContinuity();
    private final Map<RequestKey, ClaimTable.Ownership> mUnverified = new LinkedHashMap<>();
    private final List<Action> mActions = new ArrayList<>();
    private Optional<RecordId> mOpeningId = Optional.empty();
    private Instant mLastRecordAt = Instant.MIN;
    private long mLostEra;
    private long mNextRecordNumber;
    private int mFailures;
    private boolean mUnsupportedRecords;
    private boolean mWasReady;

    /**
     * Creates a coordinator that has not read the stream.
     *
     * @param newDeployment whether an empty stream is that of a new deployment rather than a loss
     */
    public KeyCoordinator(Claimant self, KeyLimits limits, boolean newDeployment) {
        mSelf = self;
        mLimits = limits;
        mNewDeployment = newDeployment;
        mOwnedKeys = new OwnedKeys(limits);
        mClaimTable = new ClaimTable(limits.window(), mOwnedKeys::expireKey);
    }

    /** Submits a request received from a caller. */
    public List<Action> submit(KeyedRequest request, Instant now) {
        admit(new PendingClaims.Waiter(request, false), now);
        return takeActions();
    }

    /** Submits a request handed over by a peer that considers this process the owner of its key. */
    public List<Action> submitHandedOver(KeyedRequest request, Claimant owner, Instant now) {
        PendingClaims.Waiter waiter = new PendingClaims.Waiter(request, true);
        boolean issuedElsewhere =
                request.issued().filter(k -> !k.issuer().equals(mSelf)).isPresent();
        if (!owner.equals(mSelf) || issuedElsewhere) {
            // A replacement under the same node name does not know what its predecessor ran.
            refuse(waiter, Refusal.OWNER_GONE);
        } else if (request.issued().isPresent()) {
            useIssued(waiter, now);
        } else if (waitsForClaim(request.key())) {
            // The peer has read this entry's claim earlier than this entry.
            mPending.add(waiter, mActions);
        } else {
            mOwnedKeys.process(request, now, mActions);
        }
        return takeActions();
    }

    /** Batches the queued claims into one append, unless an append is in flight. */
    public List<Action> flush(Instant now) {
        // At the key limit new keys are refused, but keys already pending are still claimed.
        if (claimRefusal(now).filter(r -> r != Refusal.FULL).isEmpty()) {
            RecordId id = nextId();
            List<Claim> claims = mPending.startAppend(id, MAX_BATCH);
            if (!claims.isEmpty()) {
                append(id, mClaimTable.era(), ClaimBatch.Opening.NONE, claims, now);
            }
        }
        return takeActions();
    }

    /** Handles an append that was stored; its claims take effect when they are read back. */
    public void appendSucceeded(RecordId id) {
        mPending.appendConfirmed(id);
    }

    /** Handles an append that was certainly not stored. */
    public List<Action> appendFailed(RecordId id) {
        mOpeningId = mOpeningId.filter(o -> !o.equals(id));
        mPending.requeueFailedAppend(id).forEach(w -> refuse(w, Refusal.PLATFORM_AWAY));
        return takeActions();
    }

    /** Handles an append that may have been stored, which later reads will show. */
    public void appendUncertain(RecordId id) {
        mFailures++;
        mOpeningId = mOpeningId.filter(o -> !o.equals(id));
        mPending.appendUncertain(id);
        mContinuity.callFailed();
    }

    /** Returns the offset of the next read. */
    public long nextReadOffset() {
        return mContinuity.nextReadOffset();
    }

    /** Whether peers must be asked for their positions before the next read. */
    public boolean positionsNeeded() {
        return mContinuity.positionsNeeded();
    }

    /** Updates the positions of the peers that answered. */
    public void updatePeerPositions(List<Position> peers) {
        mContinuity.updatePeerPositions(peers);
    }

    /** Returns the read position of this entry. */
    public Position position() {
        return mContinuity.position(mClaimTable.era(), mLostEra);
    }

    /** Handles a failed read. */
    public List<Action> readFailed(Instant now) {
        mContinuity.callFailed();
        mFailures++;
        if (mFailures >= MAX_CONSECUTIVE_FAILURES) {
            refuseAllPending(Refusal.PLATFORM_AWAY);
        }
        return takeActions();
    }

    /** Handles a page read from the stream. */
    public List<Action> pageRead(ClaimsPage page, Instant now) {
        mFailures = 0;
        switch (mContinuity.check(page)) {
            case TRUNCATED ->
                    recordsLost(
                            Math.max(mLostEra, mClaimTable.era().number()), page.oldestOffset());
            case GAP -> restartReading(page.oldestOffset());
            case CONTIGUOUS -> applyPage(page, now);
            default -> throw new IllegalStateException("unexpected continuity");
        }
        return takeActions();
    }

    /** Handles the answer of a request that was run. */
    public List<Action> runCompleted(long token, KeyedAnswer answer) {
        mOwnedKeys.runCompleted(token, answer, mActions);
        return takeActions();
    }

    /** Expires requests and keys whose deadlines or windows have passed. */
    public List<Action> tick(Instant now) {
        mPending.removeExpired(now).forEach(w -> refuse(w, Refusal.CLAIM_TOO_LATE));
        mOwnedKeys.expireDue(now, mActions);
        mClaimTable.removeExpired(now);
        // A starting entry learns the era from any record, so each window needs at least one.
        boolean windowWithoutRecord = mLastRecordAt.plus(mLimits.window()).isBefore(now);
        if (windowWithoutRecord
                && mContinuity.isCaughtUp()
                && mClaimTable.era().number() > mLostEra) {
            mLastRecordAt = now;
            append(nextId(), mClaimTable.era(), ClaimBatch.Opening.NONE, List.of(), now);
        }
        return takeActions();
    }

    /** Returns why keys chosen by callers can't be claimed now; empty when they can. */
    public Optional<Refusal> claimRefusal(Instant now) {
        if (mUnsupportedRecords) {
            return Optional.of(Refusal.NEWER_RECORDS);
        }
        if (mFailures >= MAX_CONSECUTIVE_FAILURES) {
            return Optional.of(Refusal.PLATFORM_AWAY);
        }
        if (mClaimTable.isQuarantined(now)) {
            return Optional.of(Refusal.QUARANTINED);
        }
        if (!mContinuity.isCaughtUp() || mClaimTable.era().number() <= mLostEra) {
            return Optional.of(Refusal.STARTING);
        }
        return isFull() ? Optional.of(Refusal.FULL) : Optional.empty();
    }

    /** Returns the number of protected keys. */
    public int protectedKeys() {
        return mClaimTable.size() + mOwnedKeys.issuedKeys();
    }

    /** Returns the number of cached answers. */
    public int cachedAnswers() {
        return mOwnedKeys.cachedAnswers();
    }

    /** Returns the size of the cached answers in bytes. */
    public long cachedBytes() {
        return mOwnedKeys.cachedBytes();
    }

    /** Returns the number of keys with pending claims. */
    public int pendingClaims() {
        return mPending.size();
    }

    private void admit(PendingClaims.Waiter waiter, Instant now) {
        KeyedRequest request = waiter.request();
        if (request.issued().isPresent()) {
            useIssued(waiter, now);
            return;
        }
        if (waitsForClaim(request.key())) {
            mPending.add(waiter, mActions);
            return;
        }
        Optional<ClaimTable.Ownership> ownership = mClaimTable.owner(request.key(), now);
        if (ownership.isPresent()) {
            routeToOwner(waiter, ownership.get(), now);
        } else {
            // After a single failed call, keys are queued until the reader has caught up again.
            Optional<Refusal> refusal =
                    claimRefusal(now).filter(r -> r != Refusal.STARTING || !mWasReady);
            if (refusal.isPresent()) {
                refuse(waiter, refusal.get());
            } else {
                mPending.add(waiter, mActions);
            }
        }
    }

    private void useIssued(PendingClaims.Waiter waiter, Instant now) {
        KeyedRequest request = waiter.request();
        IssuedKey key = request.issued().orElseThrow();
        if (!key.issuer().equals(mSelf)) {
            mActions.add(new Action.HandOver(request.token(), key.issuer()));
            return;
        }
        if (!mOwnedKeys.contains(request.key())) {
            if (!key.expires().isAfter(now)) {
                refuse(waiter, Refusal.KEY_EXPIRED);
                return;
            }
            if (isFull()) {
                refuse(waiter, Refusal.FULL);
                return;
            }
            Instant expiresAt = key.expires().plus(mLimits.window());
            mOwnedKeys.addIssued(request.key(), request.fingerprint(), expiresAt);
        }
        mOwnedKeys.process(request, now, mActions);
    }

    private void routeToOwner(
            PendingClaims.Waiter waiter, ClaimTable.Ownership ownership, Instant now) {
        KeyedRequest request = waiter.request();
        if (!ownership.fingerprint().equals(request.fingerprint())) {
            refuse(waiter, Refusal.KEY_REUSED);
        } else if (ownership.claimant().equals(mSelf)) {
            mOwnedKeys.process(request, now, mActions);
        } else if (waiter.handedOver()) {
            refuse(waiter, Refusal.OWNER_GONE);
        } else {
            mActions.add(new Action.HandOver(request.token(), ownership.claimant()));
        }
    }

    private void applyPage(ClaimsPage page, Instant now) {
        Era before = mClaimTable.era();
        for (ClaimsPage.StoredRecord stored : page.records()) {
            if (mContinuity.isNew(stored)) {
                mContinuity.advance(stored);
                mLastRecordAt = now;
                mUnsupportedRecords |= stored.batch().isEmpty();
                stored.batch().ifPresent(b -> applyBatch(stored.id(), b, now));
            }
        }
        mContinuity.pageApplied(page);
        if (!before.equals(mClaimTable.era()) && mClaimTable.isQuarantined(now)) {
            refuseAllPending(Refusal.QUARANTINED);
        }
        if (mContinuity.isCaughtUp()) {
            onCaughtUp(page, now);
        }
    }

    private void applyBatch(RecordId id, ClaimBatch batch, Instant now) {
        ClaimTable.ApplyResult result = mClaimTable.apply(batch, now);
        if (batch.writer().equals(mSelf)) {
            mPending.appendConfirmed(id);
        }
        for (Claim claim : batch.claims()) {
            if (result == ClaimTable.ApplyResult.APPLIED) {
                mClaimTable.owner(claim.key(), now).ifPresent(o -> ownerFound(claim.key(), o, now));
            } else if (batch.writer().equals(mSelf)) {
                mPending.resolve(claim.key()).forEach(w -> refuse(w, Refusal.QUARANTINED));
            }
        }
    }

    private void ownerFound(RequestKey key, ClaimTable.Ownership ownership, Instant now) {
        if (ownership.claimant().equals(mSelf)) {
            mUnverified.put(key, ownership);
        } else {
            mPending.resolve(key).forEach(w -> routeToOwner(w, ownership, now));
        }
    }

    /**
     * Acquires the keys whose first claim is by this entry.
     *
     * <p>An append in flight while the stream lost records may be stored after the loss of an
     * earlier claim of the same key and look like the first. A claim is therefore accepted only
     * after the stream was found to hold all records that peers have read.
     */
    private void acquireVerifiedKeys(Instant now) {
        Map<RequestKey, ClaimTable.Ownership> verified = new LinkedHashMap<>(mUnverified);
        mUnverified.clear();
        verified.forEach(
                (key, ownership) -> {
                    mOwnedKeys.add(key, ownership.fingerprint());
                    mPending.resolve(key).forEach(w -> routeToOwner(w, ownership, now));
                });
    }

    private boolean waitsForClaim(RequestKey key) {
        return mPending.contains(key) || mUnverified.containsKey(key);
    }

    private void onCaughtUp(ClaimsPage page, Instant now) {
        mPending.uncertainAppend()
                .ifPresent(
                        id ->
                                mPending.requeueFailedAppend(id)
                                        .forEach(w -> refuse(w, Refusal.PLATFORM_AWAY)));
        if (mContinuity.isBehindPeers(mClaimTable.era())) {
            recordsLost(
                    Math.max(mClaimTable.era().number(), mContinuity.latestPeerEra()),
                    page.oldestOffset());
            return;
        }
        acquireVerifiedKeys(now);
        mWasReady = mClaimTable.era().number() > mLostEra;
        if (!mWasReady && mOpeningId.isEmpty()) {
            boolean newStream = mNewDeployment && mLostEra == 0 && page.endOffset() == 1;
            Era era = new Era(Math.max(mLostEra + 1, now.toEpochMilli()), mSelf.incarnation());
            RecordId id = nextId();
            mOpeningId = Optional.of(id);
            append(
                    id,
                    era,
                    newStream ? ClaimBatch.Opening.FIRST : ClaimBatch.Opening.AFTER_LOSS,
                    List.of(),
                    now);
        }
    }

    /** Handles the loss of records: no key is claimed until a later era is open. */
    private void recordsLost(long lostEra, long oldestOffset) {
        mLostEra = lostEra;
        mOpeningId = Optional.empty();
        restartReading(oldestOffset);
    }

    private void restartReading(long oldestOffset) {
        mContinuity.restartAt(oldestOffset);
        mWasReady = false;
        mUnverified.clear();
        refuseAllPending(Refusal.STARTING);
    }

    private void refuseAllPending(Refusal refusal) {
        mPending.removeAll().forEach(w -> refuse(w, refusal));
    }

    private void refuse(PendingClaims.Waiter waiter, Refusal refusal) {
        mActions.add(
                new Action.Reply(waiter.request().token(), refusal.answer(mLimits.retryAfter())));
    }

    private void append(
            RecordId id, Era era, ClaimBatch.Opening opening, List<Claim> claims, Instant now) {
        mActions.add(new Action.Append(id, new ClaimBatch(mSelf, era, opening, now, claims)));
    }

    private RecordId nextId() {
        return RecordId.of(mSelf.node() + "." + mSelf.incarnation() + "." + mNextRecordNumber++);
    }

    private boolean isFull() {
        return protectedKeys() + mPending.size() >= mLimits.maxKeys();
    }

    private List<Action> takeActions() {
        List<Action> actions = List.copyOf(mActions);
        mActions.clear();
        return actions;
    }

    /** Returns the state as text, to compare states in the exploration tests. */
    String describe() {
        return mClaimTable.describe()
                + mOwnedKeys.describe()
                + mPending.describe()
                + mContinuity.describe()
                + mOpeningId
                + mLostEra
                + ","
                + mFailures;
    }
}
