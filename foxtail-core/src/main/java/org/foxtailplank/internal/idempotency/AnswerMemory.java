package org.foxtailplank.internal.idempotency;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Optional;

/** Remembers the newest answers within a bound on their number and bytes. */
final class AnswerMemory {

    private final LinkedHashMap<RequestKey, KeyedAnswer> mAnswers = new LinkedHashMap<>();
    private final int mMaxAnswers;
    private final long mMaxBytes;
    private long mBytes;

    AnswerMemory(int maxAnswers, long maxBytes) {
        mMaxAnswers = maxAnswers;
        mMaxBytes = maxBytes;
    }

    void remember(RequestKey key, KeyedAnswer answer) {
        forget(key);
        mAnswers.put(key, answer);
        mBytes += answer.size();
        Iterator<KeyedAnswer> oldest = mAnswers.values().iterator();
        while (mBytes > mMaxBytes || mAnswers.size() > mMaxAnswers) {
            mBytes -= oldest.next().size();
            oldest.remove();
        }
    }

    Optional<KeyedAnswer> recall(RequestKey key) {
        return Optional.ofNullable(mAnswers.get(key));
    }

    void forget(RequestKey key) {
        KeyedAnswer known = mAnswers.remove(key);
        if (known != null) {
            mBytes -= known.size();
        }
    }

    long bytes() {
        return mBytes;
    }

    int size() {
        return mAnswers.size();
    }
}
