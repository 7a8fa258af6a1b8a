package org.foxtailplank.job;

/**
 * Response time and ticket validity of a queue's placement advice service.
 *
 * @param baseMs fixed part of the response time, in milliseconds
 * @param perWorkerMs additional response time per worker in the request, in milliseconds
 * @param validMs validity period of a ticket, in milliseconds
 */
public record AdviceTiming(long baseMs, long perWorkerMs, long validMs) {}
