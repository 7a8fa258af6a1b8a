package org.foxtailplank.wire;

import static org.testng.Assert.assertEquals;

import java.time.Instant;
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
import org.testng.annotations.Test;

/** Tests the codec of claims stream records. */
public class ClaimCodecTest {

    @Test
    public void readsBackWhatItWrote() {
        for (ClaimBatch.Opening opening : ClaimBatch.Opening.values()) {
            ClaimBatch batch = batch(opening);
            assertEquals(ClaimCodec.decode(ClaimCodec.encode(batch)), Optional.of(batch));
        }
    }

    @Test
    public void rejectsNewerAndMalformedRecords() throws Exception {
        byte[] data = ClaimCodec.encode(batch(ClaimBatch.Opening.NONE));
        ClaimBatchProto.Builder proto = ClaimBatchProto.parseFrom(data).toBuilder();
        byte[] newer = proto.clone().setFormat(2).build().toByteArray();
        byte[] opening = proto.clone().setOpeningValue(9).build().toByteArray();
        byte[] odd = proto.clone().addClaimWords(1).build().toByteArray();
        assertEquals(ClaimCodec.decode(newer), Optional.empty());
        assertEquals(ClaimCodec.decode(opening), Optional.empty());
        assertEquals(ClaimCodec.decode(odd), Optional.empty());
        assertEquals(ClaimCodec.decode(new byte[] {1, 2, 3}), Optional.empty());
    }

    private static ClaimBatch batch(ClaimBatch.Opening opening) {
        Claim claim =
                new Claim(
                        new RequestKey(Digest.ofTexts("k")), new Fingerprint(Digest.ofTexts("f")));
        return new ClaimBatch(
                new Claimant(NodeId.of("entry-1"), -5),
                new Era(1_764_000_000_000L, -7),
                opening,
                Instant.ofEpochMilli(1_764_000_000_123L),
                List.of(claim, claim));
    }
}
