package org.foxtailplank.internal.idempotency;

import java.time.Duration;
import java.util.Optional;
import org.foxtailplank.request.Outcome;

/** Reasons to answer a keyed request without a backend server's answer, with their texts. */
public enum Refusal {
    STARTING(
            Outcome.NOT_RUN,
            503,
            "This entry has not yet read which keys are in use. Send it again, with the same key."),
    PLATFORM_AWAY(
            Outcome.NOT_RUN,
            503,
            "Keys can't be claimed because the platform's log does not answer. Send it again later"
                    + " with the same key, or ask for an issued key, which needs no log."),
    QUARANTINED(
            Outcome.NOT_RUN,
            503,
            "The platform's log lost records, so a key that looks unused may have run. New keys are"
                    + " taken again when the window has passed; issued keys are taken now."),
    NEWER_RECORDS(
            Outcome.NOT_RUN,
            503,
            "The claims stream holds records that this version does not understand. Upgrade this"
                    + " entry; other entries take the request."),
    FULL(
            Outcome.NOT_RUN,
            503,
            "This entry protects as many keys as its memory allows. Send it again later with the"
                    + " same key."),
    CLAIM_TOO_LATE(
            Outcome.NOT_RUN,
            503,
            "The deadline passed before the key was claimed. Send it again with the same key."),
    KEY_REUSED(
            Outcome.NOT_RUN,
            422,
            "The key was used with a different request. Choose another key for a new request."),
    KEY_INVALID(
            Outcome.NOT_RUN,
            400,
            "The key looks issued but was not issued here. Ask for one with POST /keys."),
    KEY_EXPIRED(
            Outcome.UNKNOWN,
            410,
            "The issued key has expired, and whether it was used is no longer known."),
    OWNER_GONE(
            Outcome.UNKNOWN,
            504,
            "The entry that may run this key can't be reached, so whether it ran is not known. Send"
                    + " it again with the same key to ask once more; with a new key it may run"
                    + " twice."),
    ANSWER_FORGOTTEN(
            Outcome.UNKNOWN,
            410,
            "The request ran, but its answer is no longer remembered. Don't send it with a new"
                    + " key."),
    OUTCOME_LOST(
            Outcome.UNKNOWN,
            504,
            "The request was sent to a backend server and its answer was lost, so whether it ran is"
                    + " not known. It is never sent again under this key."),
    STILL_RUNNING(
            Outcome.UNKNOWN,
            504,
            "The deadline passed while the request was running. Send it again with the same key for"
                    + " its answer.");

    private final Outcome mOutcome;
    private final int mStatus;
    private final String mText;

    Refusal(Outcome outcome, int status, String text) {
        mOutcome = outcome;
        mStatus = status;
        mText = text;
    }

    /** Returns the outcome that the refusal reports to the caller. */
    public Outcome outcome() {
        return mOutcome;
    }

    /** Returns the answer for this refusal. */
    public KeyedAnswer answer() {
        return KeyedAnswer.text(mOutcome, mStatus, mText, Optional.empty());
    }

    /** Returns the answer for this refusal, with a delay before the next attempt. */
    public KeyedAnswer answer(Duration retryAfter) {
        return KeyedAnswer.text(mOutcome, mStatus, mText, Optional.of(retryAfter));
    }
}
