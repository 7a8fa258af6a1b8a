package org.foxtailplank.entry.internal.idempotency;

import org.foxtailplank.entry.Answer;
import org.foxtailplank.entry.Header;
import org.foxtailplank.internal.idempotency.KeyedAnswer;

/** Converts between the entry's answers and the cached answers of keyed requests. */
final class AnswerConverter {

    private AnswerConverter() {}

    static Answer toAnswer(KeyedAnswer answer) {
        return new Answer(
                answer.status(),
                answer.outcome(),
                answer.retryAfter(),
                answer.contentType(),
                answer.fields().stream().map(f -> new Header(f.name(), f.value())).toList(),
                answer.body());
    }

    static KeyedAnswer toKeyedAnswer(Answer answer) {
        return new KeyedAnswer(
                answer.outcome(),
                answer.status(),
                answer.retryAfter(),
                answer.contentType(),
                answer.headers().stream()
                        .map(h -> new KeyedAnswer.Field(h.name(), h.value()))
                        .toList(),
                answer.body());
    }
}
