package org.foxtailplank.wire;

import com.google.protobuf.ByteString;
import org.foxtailplank.id.ServiceId;

/**
 * Asks the first claimant of an idempotency key for the answer.
 *
 * @param service service of the request
 * @param key idempotency key
 * @param fingerprint digest of the request, so that a key used for another request is noticed
 */
public record AnswerLookup(ServiceId service, String key, ByteString fingerprint)
        implements PeerMessage {}
