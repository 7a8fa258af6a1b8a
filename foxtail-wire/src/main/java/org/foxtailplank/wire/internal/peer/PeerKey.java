package org.foxtailplank.wire.internal.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.InvalidKeyException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** The key that all peers share, and what is derived from it for one connection. */
final class PeerKey {

    private static final String ALGORITHM = "HmacSHA256";
    private static final String DIGEST = "SHA-256";

    /** Labels keep a proof of one side from being played back as the proof of the other one. */
    private static final String ACCEPTOR_PROOF = "foxtail-peer acceptor proof";

    private static final String CONNECTOR_PROOF = "foxtail-peer connector proof";
    private static final String TO_ACCEPTOR = "foxtail-peer frames to acceptor";
    private static final String TO_CONNECTOR = "foxtail-peer frames to connector";

    private final byte[] mKey;

    private PeerKey(byte[] key) {
        mKey = key;
    }

    static PeerKey of(String text) {
        return new PeerKey(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Digest of all that was said before the proofs, which binds them to nodes and nonces. */
    static byte[] transcript(byte[] connectorHello, byte[] acceptorHello) {
        try {
            MessageDigest digest = MessageDigest.getInstance(DIGEST);
            digest.update(length(connectorHello));
            digest.update(connectorHello);
            digest.update(length(acceptorHello));
            digest.update(acceptorHello);
            return digest.digest();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has " + DIGEST, e);
        }
    }

    byte[] acceptorProof(byte[] transcript) {
        return derive(ACCEPTOR_PROOF, transcript);
    }

    byte[] connectorProof(byte[] transcript) {
        return derive(CONNECTOR_PROOF, transcript);
    }

    FrameSeal connectorSeal(byte[] transcript) {
        return new FrameSeal(
                mac(derive(TO_ACCEPTOR, transcript)), mac(derive(TO_CONNECTOR, transcript)));
    }

    FrameSeal acceptorSeal(byte[] transcript) {
        return new FrameSeal(
                mac(derive(TO_CONNECTOR, transcript)), mac(derive(TO_ACCEPTOR, transcript)));
    }

    private byte[] derive(String label, byte[] transcript) {
        Mac mac = mac(mKey);
        mac.update(label.getBytes(StandardCharsets.UTF_8));
        mac.update((byte) 0);
        return mac.doFinal(transcript);
    }

    private static Mac mac(byte[] key) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
            return mac;
        } catch (NoSuchAlgorithmException | InvalidKeyException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }

    private static byte[] length(byte[] bytes) {
        return ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array();
    }
}
