package org.foxtailplank.wire.internal.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.InvalidKeyException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Shared key of all peers, and the proofs and MAC keys derived from it per connection. */
final class PeerKey {

    private static final String ALGORITHM = "HmacSHA256";
    private static final String DIGEST = "SHA-256";

    /** Distinct labels prevent reflection of a proof to its sender. */
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

    /** Returns a digest of both hellos, which binds the proofs to identities and nonces. */
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

    FrameAuthenticator connectorAuthenticator(byte[] transcript) {
        return new FrameAuthenticator(
                mac(derive(TO_ACCEPTOR, transcript)), mac(derive(TO_CONNECTOR, transcript)));
    }

    FrameAuthenticator acceptorAuthenticator(byte[] transcript) {
        return new FrameAuthenticator(
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
