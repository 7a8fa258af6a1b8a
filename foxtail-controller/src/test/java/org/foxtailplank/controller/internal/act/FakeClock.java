package org.foxtailplank.controller.internal.act;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** A clock that advances only on request. */
final class FakeClock implements InstantSource {
    private Instant mNow = Instant.parse("2026-03-02T06:00:00Z");

    @Override
    public Instant instant() {
        return mNow;
    }

    void advance(Duration time) {
        mNow = mNow.plus(time);
    }
}
