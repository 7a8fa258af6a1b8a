package org.foxtailplank.job;

/**
 * How the placement advice of a queue answers.
 *
 * @param baseMs time of an answer, in milliseconds
 * @param perWorkerMs further time for each worker asked about, in milliseconds
 * @param validMs how long a ticket holds, in milliseconds
 */
public record AdviceTerms(long baseMs, long perWorkerMs, long validMs) {}
