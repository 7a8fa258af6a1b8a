package org.foxtailplank.internal.idempotency;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.foxtailplank.request.Outcome;

/**
 * The keys that this entry owns, with the state of their requests.
 *
 * <p>Only the owner runs requests of a key. When a request did not run, the key becomes available
 * again locally, without a release record that could be lost or read late.
 */
final class OwnedKeys {

    private enum Phase {
        /** No request has run; the next one may run. */
        FREE,
        /** A request is running; further requests wait for its answer. */
        RUNNING,
        /** A request ran and was answered; the answer may have been evicted. */
        ANSWERED,
        /** A request may have run, and its answer is not known. */
        OUTCOME_UNKNOWN
    }

    private static final class KeyState {
        private final Fingerprint mFingerprint;
        private final List<KeyedRequest> mWaiters = new ArrayList<>();
        private Phase mPhase = Phase.FREE;
        private boolean mRemoveWhenDone;

        private KeyState(Fingerprint fingerprint) {
            mFingerprint = fingerprint;
        }
    }

    private record Expiry(Instant at, RequestKey key) {}

    private final Map<RequestKey, KeyState> mKeys = new HashMap<>();
    private final Map<Long, RequestKey> mRunning = new HashMap<>();
    private final PriorityQueue<Expiry> mIssuedExpiries =
            new PriorityQueue<>((a, b) -> a.at().compareTo(b.at()));
    private final AnswerCache mAnswers;

    OwnedKeys(KeyLimits limits) {
        mAnswers = new AnswerCache(limits.maxAnswers(), limits.maxAnswerBytes());
    }

    /** Adds a key that has not been run. */
    void add(RequestKey key, Fingerprint fingerprint) {
        KeyState known = mKeys.putIfAbsent(key, new KeyState(fingerprint));
        if (known != null) {
            known.mRemoveWhenDone = false;
        }
    }

    /** Adds an issued key at its first use, until it expires. */
    void addIssued(RequestKey key, Fingerprint fingerprint, Instant expires) {
        if (!mKeys.containsKey(key)) {
            add(key, fingerprint);
            mIssuedExpiries.add(new Expiry(expires, key));
        }
    }

    boolean contains(RequestKey key) {
        return mKeys.containsKey(key);
    }

    /** Runs the request, lets it wait for a running one, or answers it from the cache. */
    void process(KeyedRequest request, Instant now, List<Action> out) {
        KeyState state = mKeys.get(request.key());
        if (state == null) {
            // The key has expired here; treating it as new would run the request again.
            out.add(new Action.Reply(request.token(), Refusal.ANSWER_FORGOTTEN.answer()));
            return;
        }
        if (!state.mFingerprint.equals(request.fingerprint())) {
            out.add(new Action.Reply(request.token(), Refusal.KEY_REUSED.answer()));
            return;
        }
        switch (state.mPhase) {
            case FREE -> run(state, request, now, out);
            case RUNNING -> state.mWaiters.add(request);
            case ANSWERED ->
                    out.add(new Action.Reply(request.token(), cachedAnswer(request.key())));
            case OUTCOME_UNKNOWN ->
                    out.add(new Action.Reply(request.token(), Refusal.OUTCOME_LOST.answer()));
            default -> throw new IllegalStateException("unexpected phase " + state.mPhase);
        }
    }

    /** Records the answer of a request that was run, and answers the waiting requests. */
    void runCompleted(long token, KeyedAnswer answer, List<Action> out) {
        RequestKey key = mRunning.remove(token);
        if (key == null) {
            throw new IllegalStateException("request " + token + " is not running");
        }
        KeyState state = mKeys.get(key);
        state.mPhase = phaseAfter(answer.outcome());
        if (state.mPhase == Phase.ANSWERED) {
            mAnswers.put(key, answer);
        }
        out.add(new Action.Reply(token, answer));
        state.mWaiters.forEach(w -> out.add(new Action.Reply(w.token(), answer)));
        state.mWaiters.clear();
        if (state.mRemoveWhenDone) {
            remove(key);
        }
    }

    /** Answers waiting requests whose deadlines have passed, and removes expired issued keys. */
    void expireDue(Instant now, List<Action> out) {
        for (RequestKey key : mRunning.values()) {
            Iterator<KeyedRequest> waiting = mKeys.get(key).mWaiters.iterator();
            while (waiting.hasNext()) {
                KeyedRequest request = waiting.next();
                if (!request.deadline().isAfter(now)) {
                    waiting.remove();
                    out.add(new Action.Reply(request.token(), Refusal.STILL_RUNNING.answer()));
                }
            }
        }
        while (!mIssuedExpiries.isEmpty() && !mIssuedExpiries.peek().at().isAfter(now)) {
            expireKey(mIssuedExpiries.poll().key());
        }
    }

    /** Removes an expired key, after its running request has ended. */
    void expireKey(RequestKey key) {
        KeyState state = mKeys.get(key);
        if (state == null) {
            return;
        }
        if (state.mPhase == Phase.RUNNING) {
            state.mRemoveWhenDone = true;
        } else {
            remove(key);
        }
    }

    int issuedKeys() {
        return mIssuedExpiries.size();
    }

    int cachedAnswers() {
        return mAnswers.size();
    }

    long cachedBytes() {
        return mAnswers.bytes();
    }

    private void run(KeyState state, KeyedRequest request, Instant now, List<Action> out) {
        if (!request.deadline().isAfter(now)) {
            // After a pause between claim and run, the caller no longer waits and the key may
            // already have another owner.
            out.add(new Action.Reply(request.token(), Refusal.CLAIM_TOO_LATE.answer()));
            return;
        }
        state.mPhase = Phase.RUNNING;
        mRunning.put(request.token(), request.key());
        out.add(new Action.Run(request.token()));
    }

    private KeyedAnswer cachedAnswer(RequestKey key) {
        return mAnswers.get(key).orElseGet(Refusal.ANSWER_FORGOTTEN::answer);
    }

    private void remove(RequestKey key) {
        mKeys.remove(key);
        mAnswers.remove(key);
    }

    private static Phase phaseAfter(Outcome outcome) {
        return switch (outcome) {
            case OK -> Phase.ANSWERED;
            case NOT_RUN -> Phase.FREE;
            case UNKNOWN -> Phase.OUTCOME_UNKNOWN;
        };
    }

    /** Returns the state as text, to compare states in the exploration tests. */
    String describe() {
        StringBuilder out = new StringBuilder();
        mKeys.forEach(
                (key, state) ->
                        out.append(key.digest())
                                .append(state.mPhase)
                                .append(state.mWaiters.size()));
        return out.append(mAnswers.size()).toString();
    }
}
