package org.foxtailplank.internal.admission;

import org.foxtailplank.request.RequestClass;

/**
 * One request that waits.
 *
 * @param <T> what stands for the request
 * @param item the request
 * @param requestClass how urgent it is
 * @param team name of the team it is counted for
 * @param deadline when its answer is of no more use, in nanoseconds
 * @param bytes memory that it holds while it waits
 */
public record Ticket<T>(
        T item, RequestClass requestClass, String team, long deadline, long bytes) {}
