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
 * The keys that this entry owns, and what became of their requests.
 *
 * <p>Nobody else runs these keys, so a request that certainly did not run frees its key for the
 * next one without a word to the others: no record of a release can be lost or seen too late.
 */
final class OwnedKeys {

    private enum Phase {
        /** Nothing has run; the next request may. */
        FREE,
        /** One request runs; others wait for its answer. */
        RUNNING,
        /** It ran; its answer is remembered, or was. */
        ANSWERED,
        /** It may have run, and its answer was never known. */
        LOST
    }

    private static final class Key {
        private final Fingerprint mFingerprint;
        private final List<KeyedRequest> mWaiting = new ArrayList<>();
        private Phase mPhase = Phase.FREE;
        private boolean mForgotten;

        private Key(Fingerprint fingerprint) {
            mFingerprint = fingerprint;
        }
    }

    private record Expiry(Instant at, RequestKey key) {}

    private final Map<RequestKey, Key> mKeys = new HashMap<>();
    private final Map<Long, RequestKey> mRunning = new HashMap<>();
    private final PriorityQueue<Expiry> mIssued =
            new PriorityQueue<>((a, b) -> a.at().compareTo(b.at()));
    private final AnswerMemory mAnswers;

    OwnedKeys(KeyLimits limits) {
        mAnswers = new AnswerMemory(limits.maxAnswers(), limits.maxAnswerBytes());
    }

    /** Takes a key that nobody has run. */
    void take(RequestKey key, Fingerprint fingerprint) {
        Key known = mKeys.putIfAbsent(key, new Key(fingerprint));
        if (known != null) {
            known.mForgotten = false;
        }
    }

    /** Takes an issued key at its first use, until it expires. */
    void takeIssued(RequestKey key, Fingerprint fingerprint, Instant expires) {
        if (!mKeys.containsKey(key)) {
            take(key, fingerprint);
            mIssued.add(new Expiry(expires, key));
        }
    }

    boolean holds(RequestKey key) {
        return mKeys.containsKey(key);
    }

    /** Runs a request, joins it to the one that runs, or answers it. */
    void ask(KeyedRequest request, Instant now, List<Action> out) {
        Key key = mKeys.get(request.key());
        if (key == null) {
            // Against a memory that was lost or has expired: the key would look new and run again.
            out.add(new Action.Reply(request.token(), Refusal.ANSWER_FORGOTTEN.answer()));
            return;
        }
        if (!key.mFingerprint.equals(request.fingerprint())) {
            out.add(new Action.Reply(request.token(), Refusal.KEY_REUSED.answer()));
            return;
        }
        switch (key.mPhase) {
            case FREE -> run(key, request, now, out);
            case RUNNING -> key.mWaiting.add(request);
            case ANSWERED -> out.add(new Action.Reply(request.token(), recall(request.key())));
            case LOST -> out.add(new Action.Reply(request.token(), Refusal.OUTCOME_LOST.answer()));
            default -> throw new IllegalStateException("phase " + key.mPhase);
        }
    }

    /** Takes in what became of a request that was run. */
    void ran(long token, KeyedAnswer answer, List<Action> out) {
        RequestKey id = mRunning.remove(token);
        if (id == null) {
            throw new IllegalStateException("request " + token + " was not run");
        }
        Key key = mKeys.get(id);
        key.mPhase = phaseAfter(answer.outcome());
        if (key.mPhase == Phase.ANSWERED) {
            mAnswers.remember(id, answer);
        }
        out.add(new Action.Reply(token, answer));
        key.mWaiting.forEach(w -> out.add(new Action.Reply(w.token(), answer)));
        key.mWaiting.clear();
        if (key.mForgotten) {
            remove(id);
        }
    }

    /** Answers those that waited until their deadlines. */
    void expire(Instant now, List<Action> out) {
        for (RequestKey id : mRunning.values()) {
            Iterator<KeyedRequest> waiting = mKeys.get(id).mWaiting.iterator();
            while (waiting.hasNext()) {
                KeyedRequest request = waiting.next();
                if (!request.deadline().isAfter(now)) {
                    waiting.remove();
                    out.add(new Action.Reply(request.token(), Refusal.STILL_RUNNING.answer()));
                }
            }
        }
        while (!mIssued.isEmpty() && !mIssued.peek().at().isAfter(now)) {
            forget(mIssued.poll().key());
        }
    }

    /** Forgets a key that is no longer protected, once it does not run any more. */
    void forget(RequestKey id) {
        Key key = mKeys.get(id);
        if (key == null) {
            return;
        }
        if (key.mPhase == Phase.RUNNING) {
            key.mForgotten = true;
        } else {
            remove(id);
        }
    }

    int issuedKeys() {
        return mIssued.size();
    }

    int rememberedAnswers() {
        return mAnswers.size();
    }

    long rememberedBytes() {
        return mAnswers.bytes();
    }

    private void run(Key key, KeyedRequest request, Instant now, List<Action> out) {
        if (!request.deadline().isAfter(now)) {
            // Against an entry that was paused between claim and run: the caller has gone, and
            // after a very long pause the key may belong to somebody else.
            out.add(new Action.Reply(request.token(), Refusal.CLAIM_TOO_LATE.answer()));
            return;
        }
        key.mPhase = Phase.RUNNING;
        mRunning.put(request.token(), request.key());
        out.add(new Action.Run(request.token()));
    }

    private KeyedAnswer recall(RequestKey key) {
        return mAnswers.recall(key).orElseGet(Refusal.ANSWER_FORGOTTEN::answer);
    }

    private void remove(RequestKey id) {
        mKeys.remove(id);
        mAnswers.forget(id);
    }

    private static Phase phaseAfter(Outcome outcome) {
        return switch (outcome) {
            case OK -> Phase.ANSWERED;
            case NOT_RUN -> Phase.FREE;
            case UNKNOWN -> Phase.LOST;
        };
    }

    /** The state in words, for an exploration of all states. */
    String describe() {
        StringBuilder out = new StringBuilder();
        mKeys.forEach(
                (id, key) ->
                        out.append(id.digest()).append(key.mPhase).append(key.mWaiting.size()));
        return out.append(mAnswers.size()).toString();
    }
}
