package org.foxtailplank.wire;

import com.google.protobuf.ByteString;
import org.foxtailplank.id.ServiceId;

/**
 * Requests the stored answer from the first claimant of an idempotency key.
 *
 * @param service service of the request
 * @param key idempotency key
 * @param fingerprint digest of the request, to detect reuse of the key for another request
 */
public record AnswerLookup(ServiceId service, String key, ByteString fingerprint)
        implements PeerMessage {}
