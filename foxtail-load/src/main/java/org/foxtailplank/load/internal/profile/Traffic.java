package org.foxtailplank.load.internal.profile;

/**
 * One kind of request that callers of a deployment make.
 *
 * @param name name in results, for example {@code morning-dispatch}
 * @param service service asked for
 * @param share share of all requests
 * @param requestClass {@code urgent}, {@code interactive} or {@code batch}
 * @param team team that pays
 * @param repeatable whether the request may be run twice
 * @param keyed whether it carries an idempotency key
 * @param deadlineMs deadline in milliseconds
 * @param bodyBytes size of its body
 */
public record Traffic(
        String name,
        String service,
        double share,
        String requestClass,
        String team,
        boolean repeatable,
        boolean keyed,
        long deadlineMs,
        int bodyBytes) {

    public Traffic {
        if (share <= 0 || deadlineMs <= 0 || bodyBytes < 0) {
            throw new IllegalArgumentException(
                    "traffic "
                            + name
                            + ": share and deadlineMs must be above 0, bodyBytes not below");
        }
    }
}
