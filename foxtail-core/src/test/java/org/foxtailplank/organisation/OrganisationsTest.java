package org.foxtailplank.organisation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.foxtailplank.fleet.Resources;
import org.testng.annotations.Test;

public class OrganisationsTest {
    private static Organisation organisation(String name, String... keys) {
        return new Organisation(name, Set.of(keys), 2, ResourceCap.UNLIMITED);
    }

    @Test
    public void aKeyIdentifiesItsOrganisation() throws Exception {
        Organisations organisations =
                Organisations.of(List.of(organisation("a", "k1", "k2"), organisation("b", "k3")));

        assertEquals(organisations.byKey("k2").orElseThrow().name(), "a");
        assertEquals(organisations.byKey("k3").orElseThrow().name(), "b");
        assertTrue(organisations.byKey("k4").isEmpty());
        assertTrue(organisations.byName("b").isPresent());
    }

    @Test
    public void aKeyOfTwoOrganisationsIsRejected() {
        assertThrows(
                Organisations.DuplicateException.class,
                () -> Organisations.of(List.of(organisation("a", "k"), organisation("b", "k"))));
    }

    @Test
    public void twoOrganisationsOfTheSameNameAreRejected() {
        assertThrows(
                Organisations.DuplicateException.class,
                () -> Organisations.of(List.of(organisation("a", "k"), organisation("a", "l"))));
    }

    /** Guards against keys in log lines that contain a configuration. */
    @Test
    public void aKeyIsNotPartOfAnyDescription() throws Exception {
        Organisation organisation = organisation("a", "secret-key");
        Organisations organisations = Organisations.of(List.of(organisation));

        assertFalse(organisation.toString().contains("secret-key"));
        assertFalse(organisations.toString().contains("secret-key"));
        assertFalse(KeyFingerprint.of("secret-key").contains("secret"));
        assertEquals(KeyFingerprint.of("secret-key"), KeyFingerprint.of("secret-key"));
    }

    @Test
    public void aCapOfZeroIsNoLimit() {
        ResourceCap cap = new ResourceCap(new Resources(4000, 0, 1));

        assertTrue(cap.admits(new Resources(4000, Long.MAX_VALUE, 1)));
        assertFalse(cap.admits(new Resources(4001, 0, 0)));
        assertFalse(cap.admits(new Resources(0, 0, 2)));
        assertTrue(ResourceCap.UNLIMITED.admits(new Resources(1 << 30, 1L << 60, 1 << 20)));
    }

    @Test
    public void keysAreAcceptedForLessThanTheirRevocationTime() {
        assertEquals(new KeyLifetime(OptionalLong.of(5000)).maxAgeMs(), 4500);
        assertEquals(KeyLifetime.UNLIMITED.maxAgeMs(), Long.MAX_VALUE);
    }
}
