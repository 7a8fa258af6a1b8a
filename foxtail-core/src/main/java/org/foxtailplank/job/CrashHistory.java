package org.foxtailplank.job;

import java.util.ArrayList;
import java.util.List;

/**
 * Crashes of workers that a task may have caused, since it last ran without one.
 *
 * <p>A crash ends everything that runs on the worker, so that a single one proves nothing about a
 * task, and workers crash for other reasons too. The evidence tells the two cases apart.
 *
 * @param crashes crashes of workers that had just started the task
 * @param evidence how much likelier the crashes are if the task causes them than by chance, as a
 *     decimal logarithm in hundredths
 * @param agesMs times from the start to the last crashes of which it is known, in milliseconds,
 *     oldest first; also to those with several suspects, which are no evidence by themselves
 */
public record CrashHistory(int crashes, int evidence, List<Long> agesMs) {
    /** No crash. */
    public static final CrashHistory NONE = new CrashHistory(0, 0, List.of());

    /** From this number on the task is started away from other tasks that may crash workers. */
    private static final int ISOLATION_CRASHES = 2;

    /** A single crash never proves a fault. */
    private static final int MIN_CRASHES = 2;

    /** Evidence that a healthy task reaches once in 10,000 series of crashes at most. */
    private static final int PROVING_EVIDENCE = 400;

    /** Crashes from which on the platform allows no further start of a task that causes them. */
    private static final int MAX_CRASHES = 5;

    /** Evidence that suffices then; workers that often crash by themselves don't yield it. */
    private static final int SUFFICIENT_EVIDENCE = 300;

    /** Number of ages that are kept. */
    private static final int MAX_AGES = MAX_CRASHES;

    private static final long FIRST_BACKOFF_MS = 1000;
    private static final long MAX_BACKOFF_MS = 2000;

    /**
     * Keeps the last ages and checks the numbers.
     *
     * @throws IllegalArgumentException if the number of crashes is negative, or if an age isn't
     *     positive
     */
    public CrashHistory {
        if (crashes < 0) {
            throw new IllegalArgumentException("negative number of crashes: " + crashes);
        }
        agesMs = List.copyOf(agesMs.subList(Math.max(0, agesMs.size() - MAX_AGES), agesMs.size()));
        for (long ageMs : agesMs) {
            if (ageMs <= 0) {
                throw new IllegalArgumentException("age of a crash isn't positive: " + ageMs);
            }
        }
    }

    /** Creates a history of which one age is known at most; {@code ageMs} is 0 if none is. */
    public CrashHistory(int crashes, int evidence, long ageMs) {
        this(crashes, evidence, ageMs == 0 ? List.of() : List.of(ageMs));
    }

    /**
     * Returns the history after a crash this long after the start; a proven fault stays proven.
     *
     * @param moreEvidence evidence of this crash; 0 if there are several suspects
     * @param ageMs time from the start to the crash; 0 if unknown
     */
    public CrashHistory plusCrash(int moreEvidence, long ageMs) {
        if (provesFault()) {
            return this;
        }
        List<Long> ages = new ArrayList<>(agesMs);
        if (ageMs > 0) {
            ages.add(ageMs);
        }
        return new CrashHistory(crashes + 1, evidence + moreEvidence, ages);
    }

    /** Whether the task may crash its workers. */
    public boolean isSuspect() {
        return crashes > 0;
    }

    /** Whether the next start is delayed and kept away from other suspects. */
    public boolean needsIsolation() {
        return crashes >= ISOLATION_CRASHES;
    }

    /** Whether the task crashes each worker that starts it, so that it must not start again. */
    public boolean provesFault() {
        return crashes >= MIN_CRASHES && evidence >= PROVING_EVIDENCE
                || crashes >= MAX_CRASHES && evidence >= SUFFICIENT_EVIDENCE;
    }

    /** Delay before the next start, in milliseconds, in which crashed workers restart. */
    public long backoffMs() {
        if (!needsIsolation()) {
            return 0;
        }
        return Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * (crashes - ISOLATION_CRASHES + 1L));
    }
}
