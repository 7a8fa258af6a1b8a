package org.foxtailplank.node.owner;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.foxtailplank.node.LinkRate;
import org.testng.annotations.Test;

/** Tests when an owner on a narrow link resigns. */
public class ResignationPolicyTest {
    private static final LinkRate NARROW = new LinkRate(10);
    private static final LinkRate WIDE = new LinkRate(200);
    private static final long LATER_MS = 5000;

    private static ResignationPolicy owner(LinkRate link) {
        ResignationPolicy policy = new ResignationPolicy(link);
        policy.ownershipGained(0);
        return policy;
    }

    /** A node on a narrow link must not stay the owner while a follower has an ample link. */
    @Test
    public void ownerOnNarrowLinkResignsForFollowerOnAmpleLink() {
        assertTrue(owner(NARROW).shouldResign(LATER_MS - 100, LATER_MS));
    }

    @Test
    public void ownerStaysWithoutStandbyFollower() {
        assertFalse(owner(NARROW).shouldResign(Long.MIN_VALUE / 2, LATER_MS));
        assertFalse(owner(NARROW).shouldResign(0, LATER_MS));
    }

    @Test
    public void ownerOnAmpleOrUnknownLinkStays() {
        assertFalse(owner(WIDE).shouldResign(LATER_MS, LATER_MS));
        assertFalse(owner(LinkRate.UNKNOWN).shouldResign(LATER_MS, LATER_MS));
    }

    /** Two nodes must not hand ownership back and forth. */
    @Test
    public void ownerThatSteppedDownRecentlyStays() {
        ResignationPolicy policy = owner(NARROW);
        assertFalse(policy.shouldResign(100, 100));
        assertTrue(policy.shouldResign(LATER_MS, LATER_MS));
        policy.ownershipGained(LATER_MS + 1000);

        assertFalse(policy.shouldResign(2 * LATER_MS, 2 * LATER_MS));
    }
}
