package org.foxtailplank.internal.idempotency;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Optional;

/** A cache of answers, bounded in number and bytes, that evicts the oldest answers first. */
final class AnswerCache {

    private final LinkedHashMap<RequestKey, KeyedAnswer> mAnswers = new LinkedHashMap<>();
    private final int mMaxAnswers;
    private final long mMaxBytes;
    private long mBytes;

    AnswerCache(int maxAnswers, long maxBytes) {
        mMaxAnswers = maxAnswers;
        mMaxBytes = maxBytes;
    }

    void put(RequestKey key, KeyedAnswer answer) {
        remove(key);
        mAnswers.put(key, answer);
        mBytes += answer.size();
        Iterator<KeyedAnswer> oldest = mAnswers.values().iterator();
        while (mBytes > mMaxBytes || mAnswers.size() > mMaxAnswers) {
            mBytes -= oldest.next().size();
            oldest.remove();
        }
    }

    Optional<KeyedAnswer> get(RequestKey key) {
        return Optional.ofNullable(mAnswers.get(key));
    }

    void remove(RequestKey key) {
        KeyedAnswer removed = mAnswers.remove(key);
        if (removed != null) {
            mBytes -= removed.size();
        }
    }

    long bytes() {
        return mBytes;
    }

    int size() {
        return mAnswers.size();
    }
}
