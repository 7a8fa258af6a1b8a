package org.foxtailplank.internal.idempotency;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.time.Instant;
import java.util.Base64;
import java.util.Optional;
import org.foxtailplank.id.NodeId;
import org.testng.annotations.Test;

/** Tests of issued keys and their signatures. */
public class KeyIssuerTest {

    private static final Instant EXPIRES = Instant.parse("2026-12-02T08:00:00Z");
    private static final Claimant ENTRY1 = new Claimant(NodeId.of("entry-1"), 11);
    private static final Claimant ENTRY2 = new Claimant(NodeId.of("entry-2"), 22);

    private final KeyIssuer mIssuer = new KeyIssuer(ENTRY1, "shared");

    @Test
    public void everyEntryReadsTheIssuerOfTheKey() {
        String key = mIssuer.issue(EXPIRES);
        Optional<IssuedKey> read = new KeyIssuer(ENTRY2, "shared").parse(key);
        assertEquals(read.map(IssuedKey::issuer), Optional.of(ENTRY1));
        assertEquals(read.map(IssuedKey::expires), Optional.of(EXPIRES));
        assertNotEquals(mIssuer.issue(EXPIRES), key);
    }

    @Test
    public void refusesKeySignedWithAnotherSecret() {
        String forged = new KeyIssuer(ENTRY1, "guessed").issue(EXPIRES);
        assertEquals(mIssuer.parse(forged), Optional.empty());
    }

    @Test
    public void refusesKeyWithAnyByteChanged() {
        String key = mIssuer.issue(EXPIRES);
        String body = key.substring(KeyIssuer.PREFIX.length());
        byte[] bytes = Base64.getUrlDecoder().decode(body);
        for (int i = 0; i < bytes.length; i++) {
            byte[] changed = bytes.clone();
            changed[i] ^= 1;
            String text = Base64.getUrlEncoder().withoutPadding().encodeToString(changed);
            assertEquals(mIssuer.parse(KeyIssuer.PREFIX + text), Optional.empty(), "byte " + i);
        }
        assertEquals(mIssuer.parse(KeyIssuer.PREFIX), Optional.empty());
        assertEquals(mIssuer.parse(KeyIssuer.PREFIX + "not base64!"), Optional.empty());
    }

    /**
     * Two texts that decode to the same issued key must be the same key, or the request would run
     * once for each.
     */
    @Test
    public void twoTextsOfOneIssuedKeyAreOneKey() {
        String key = mIssuer.issue(EXPIRES);
        String padded = key + "=".repeat((4 - (key.length() - KeyIssuer.PREFIX.length()) % 4) % 4);
        assertNotEquals(padded, key);
        RequestKey first = RequestKey.of(mIssuer.parse(key).orElseThrow());
        RequestKey second = RequestKey.of(mIssuer.parse(padded).orElseThrow());
        assertEquals(second, first);
    }
}
