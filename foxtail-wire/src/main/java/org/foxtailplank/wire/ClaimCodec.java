package org.foxtailplank.wire;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.internal.idempotency.Claim;
import org.foxtailplank.internal.idempotency.ClaimBatch;
import org.foxtailplank.internal.idempotency.Claimant;
import org.foxtailplank.internal.idempotency.Digest;
import org.foxtailplank.internal.idempotency.Era;
import org.foxtailplank.internal.idempotency.Fingerprint;
import org.foxtailplank.internal.idempotency.RequestKey;
import org.foxtailplank.wire.generated.claims.ClaimBatchProto;
import org.foxtailplank.wire.generated.claims.EraProto;
import org.foxtailplank.wire.generated.claims.OpeningProto;

/** Encodes and decodes the protobuf records of the claims stream. */
public final class ClaimCodec {

    private static final int FORMAT = 1;
    private static final int WORDS_PER_CLAIM = 4;

    private ClaimCodec() {}

    /** Encodes a record. */
    public static byte[] encode(ClaimBatch batch) {
        ClaimBatchProto.Builder proto =
                ClaimBatchProto.newBuilder()
                        .setFormat(FORMAT)
                        .setNode(batch.writer().node().value())
                        .setIncarnation(batch.writer().incarnation())
                        .setEra(
                                EraProto.newBuilder()
                                        .setNumber(batch.era().number())
                                        .setId(batch.era().id()))
                        .setOpening(encode(batch.opening()))
                        .setTimeMillis(batch.time().toEpochMilli());
        for (Claim claim : batch.claims()) {
            Digest key = claim.key().digest();
            Digest fingerprint = claim.fingerprint().digest();
            proto.addClaimWords(key.high()).addClaimWords(key.low());
            proto.addClaimWords(fingerprint.high()).addClaimWords(fingerprint.low());
        }
        return proto.build().toByteArray();
    }

    /** Decodes a record; empty if it is malformed or has an unknown format. */
    public static Optional<ClaimBatch> decode(byte[] data) {
        ClaimBatchProto proto;
        try {
            proto = ClaimBatchProto.parseFrom(data);
        } catch (InvalidProtocolBufferException e) {
            return Optional.empty();
        }
        boolean known = proto.getFormat() == FORMAT && !proto.getNode().isBlank();
        Optional<ClaimBatch.Opening> opening = decode(proto.getOpening());
        if (!known || opening.isEmpty() || proto.getClaimWordsCount() % WORDS_PER_CLAIM != 0) {
            return Optional.empty();
        }
        Claimant writer = new Claimant(NodeId.of(proto.getNode()), proto.getIncarnation());
        Era era = new Era(proto.getEra().getNumber(), proto.getEra().getId());
        Instant time = Instant.ofEpochMilli(proto.getTimeMillis());
        return Optional.of(new ClaimBatch(writer, era, opening.get(), time, claims(proto)));
    }

    private static List<Claim> claims(ClaimBatchProto proto) {
        List<Claim> claims = new ArrayList<>(proto.getClaimWordsCount() / WORDS_PER_CLAIM);
        for (int i = 0; i < proto.getClaimWordsCount(); i += WORDS_PER_CLAIM) {
            RequestKey key = new RequestKey(digest(proto, i));
            claims.add(new Claim(key, new Fingerprint(digest(proto, i + 2))));
        }
        return claims;
    }

    private static Digest digest(ClaimBatchProto proto, int index) {
        return new Digest(proto.getClaimWords(index), proto.getClaimWords(index + 1));
    }

    private static OpeningProto encode(ClaimBatch.Opening opening) {
        return switch (opening) {
            case NONE -> OpeningProto.OPENING_NONE;
            case FIRST -> OpeningProto.OPENING_FIRST;
            case AFTER_LOSS -> OpeningProto.OPENING_AFTER_LOSS;
        };
    }

    private static Optional<ClaimBatch.Opening> decode(OpeningProto opening) {
        return switch (opening) {
            case OPENING_NONE -> Optional.of(ClaimBatch.Opening.NONE);
            case OPENING_FIRST -> Optional.of(ClaimBatch.Opening.FIRST);
            case OPENING_AFTER_LOSS -> Optional.of(ClaimBatch.Opening.AFTER_LOSS);
            default -> Optional.empty();
        };
    }
}
