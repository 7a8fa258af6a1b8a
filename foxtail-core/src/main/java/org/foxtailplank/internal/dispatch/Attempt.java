package org.foxtailplank.internal.dispatch;

import org.foxtailplank.internal.routing.Target;

/**
 * One attempt at a request that is to be sent now.
 *
 * @param <T> what stands for the request
 * @param request the request
 * @param target instance it goes to
 * @param started when it starts, in nanoseconds
 * @param timeout time after which it is given up, in nanoseconds
 */
public record Attempt<T>(PendingRequest<T> request, Target target, long started, long timeout) {}
