package org.foxtailplank.internal.admission;

import org.foxtailplank.request.RequestClass;

/**
 * A queued request with the attributes that determine its scheduling.
 *
 * @param <T> type that represents the request
 * @param request the request
 * @param requestClass priority class
 * @param team name of the team that the request is accounted to
 * @param deadline time by which the response is needed, in nanoseconds
 * @param bytes memory that the request occupies in the queue
 */
public record QueuedRequest<T>(
        T request, RequestClass requestClass, String team, long deadline, long bytes) {}
