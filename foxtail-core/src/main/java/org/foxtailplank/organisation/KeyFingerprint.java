package org.foxtailplank.organisation;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Fingerprints of API keys, for logs that must not contain the keys. */
public final class KeyFingerprint {
    private static final int LENGTH = 8;

    private KeyFingerprint() {}

    /** Returns the first digits of a key's SHA-256 digest. */
    public static String of(String key) {
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(key.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest).substring(0, LENGTH);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform supports SHA-256", e);
        }
    }
}
