package org.foxtailplank.internal.idempotency;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.Arrays;
import java.util.Base64;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.foxtailplank.id.NodeId;

/** Issues and parses idempotency keys, signed so that callers can't forge the issuer. */
public final class KeyIssuer {

    /** Prefix of issued keys, reserved: a key chosen by a caller must not start with it. */
    public static final String PREFIX = "foxtail-issued.";

    private static final String SIGNATURE_CONTEXT = "foxtailplank issued key";
    private static final String HMAC = "HmacSHA256";
    private static final int SIGNATURE_BYTES = 16;
    private static final int NUMBER_BYTES = 3 * Long.BYTES;

    private final Claimant mSelf;
    private final SecretKeySpec mSecret;
    private long mNextNumber;

    /** Creates an issuer that signs with the secret shared by all entries. */
    public KeyIssuer(Claimant self, String sharedKey) {
        mSelf = self;
        mSecret = new SecretKeySpec(sharedKey.getBytes(StandardCharsets.UTF_8), HMAC);
    }

    /** Issues a key that must first be used before it expires. */
    public String issue(Instant expires) {
        byte[] node = mSelf.node().value().getBytes(StandardCharsets.UTF_8);
        ByteBuffer payload = ByteBuffer.allocate(NUMBER_BYTES + node.length);
        payload.putLong(mSelf.incarnation()).putLong(mNextNumber++).putLong(expires.toEpochMilli());
        payload.put(node);
        ByteBuffer signed = ByteBuffer.allocate(payload.capacity() + SIGNATURE_BYTES);
        signed.put(payload.array()).put(signature(payload.array()));
        return PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(signed.array());
    }

    /** Whether a key has the prefix of issued keys. */
    public static boolean looksIssued(String text) {
        return text.startsWith(PREFIX);
    }

    /** Parses an issued key; empty when its format or signature is invalid. */
    public Optional<IssuedKey> parse(String text) {
        byte[] signed;
        try {
            signed = Base64.getUrlDecoder().decode(text.substring(PREFIX.length()));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
        int size = signed.length - SIGNATURE_BYTES;
        if (!looksIssued(text) || size <= NUMBER_BYTES) {
            return Optional.empty();
        }
        byte[] payload = Arrays.copyOf(signed, size);
        byte[] signature = Arrays.copyOfRange(signed, size, signed.length);
        if (!MessageDigest.isEqual(signature, signature(payload))) {
            return Optional.empty();
        }
        return decode(payload);
    }

    private static Optional<IssuedKey> decode(byte[] payload) {
        ByteBuffer in = ByteBuffer.wrap(payload);
        long incarnation = in.getLong();
        long number = in.getLong();
        long expires = in.getLong();
        byte[] node = new byte[in.remaining()];
        in.get(node);
        NodeId id = NodeId.of(new String(node, StandardCharsets.UTF_8));
        try {
            Claimant issuer = new Claimant(id, incarnation);
            return Optional.of(new IssuedKey(issuer, number, Instant.ofEpochMilli(expires)));
        } catch (DateTimeException e) {
            return Optional.empty();
        }
    }

    private byte[] signature(byte[] payload) {
        try {
            Mac mac = Mac.getInstance(HMAC);
            mac.init(mSecret);
            mac.update(SIGNATURE_CONTEXT.getBytes(StandardCharsets.UTF_8));
            return Arrays.copyOf(mac.doFinal(payload), SIGNATURE_BYTES);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(HMAC + " is not available", e);
        }
    }
}
