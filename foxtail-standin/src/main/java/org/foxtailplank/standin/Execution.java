package org.foxtailplank.standin;

/**
 * One run of a request on a backend server stand-in.
 *
 * @param requestId value of {@code Foxtail-Request-Id}; empty when it carried none
 * @param key value of {@code Idempotency-Key}; empty when it carried none
 * @param path path of the request
 * @param checksum checksum of its body
 * @param atMs time at which it took a slot
 * @param leavingMs time since the instance said that it was leaving; -1 when it was serving
 */
public record Execution(
        String requestId, String key, String path, String checksum, long atMs, long leavingMs) {}
