package org.foxtailplank.internal.dispatch;

import org.foxtailplank.internal.routing.Target;

/**
 * An attempt at a request, to be sent immediately.
 *
 * @param <T> type that represents the request
 * @param request the request
 * @param target instance to send the request to
 * @param started start time, in nanoseconds
 * @param timeout timeout of the attempt, in nanoseconds
 */
public record Attempt<T>(PendingRequest<T> request, Target target, long started, long timeout) {}
