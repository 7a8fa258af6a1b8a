package org.foxtailplank.entry.internal.idempotency;

import org.foxtailplank.entry.Answer;
import org.foxtailplank.entry.Header;
import org.foxtailplank.internal.idempotency.KeyedAnswer;

/** Answers as the entry and as the core's memory hold them. */
final class KeyAnswers {

    private KeyAnswers() {}

    static Answer toCaller(KeyedAnswer a) {
        return new Answer(
                a.status(),
                a.outcome(),
                a.retryAfter(),
                a.contentType(),
                a.fields().stream().map(f -> new Header(f.name(), f.value())).toList(),
                a.body());
    }

    static KeyedAnswer toMemory(Answer a) {
        return new KeyedAnswer(
                a.outcome(),
                a.status(),
                a.retryAfter(),
                a.contentType(),
                a.headers().stream().map(h -> new KeyedAnswer.Field(h.name(), h.value())).toList(),
                a.body());
    }
}
