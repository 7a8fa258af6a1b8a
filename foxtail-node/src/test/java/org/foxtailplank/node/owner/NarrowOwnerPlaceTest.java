package org.foxtailplank.node.owner;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.foxtailplank.node.LinkRate;
import org.testng.annotations.Test;

/** Tests when an owner on a narrow link steps down. */
public class NarrowOwnerPlaceTest {
    private static final LinkRate NARROW = new LinkRate(10);
    private static final LinkRate WIDE = new LinkRate(200);
    private static final long LATER_MS = 5000;

    private static NarrowOwner owner(LinkRate link) {
        NarrowOwner owner = new NarrowOwner(link);
        owner.owns(0);
        return owner;
    }

    /** A node on a narrow link must not stay the owner while a follower has an ample link. */
    @Test
    public void ownerOnNarrowLinkStepsDownForFollowerOnAmpleLink() {
        assertTrue(owner(NARROW).givesUp(LATER_MS - 100, LATER_MS));
    }

    @Test
    public void ownerStaysWithoutStandbyFollower() {
        assertFalse(owner(NARROW).givesUp(Long.MIN_VALUE / 2, LATER_MS));
        assertFalse(owner(NARROW).givesUp(0, LATER_MS));
    }

    @Test
    public void ownerOnAmpleOrUnknownLinkStays() {
        assertFalse(owner(WIDE).givesUp(LATER_MS, LATER_MS));
        assertFalse(owner(LinkRate.UNKNOWN).givesUp(LATER_MS, LATER_MS));
    }

    /** Two nodes must not hand ownership back and forth. */
    @Test
    public void ownerThatSteppedDownRecentlyStays() {
        NarrowOwner owner = owner(NARROW);
        assertFalse(owner.givesUp(100, 100));
        assertTrue(owner.givesUp(LATER_MS, LATER_MS));
        owner.owns(LATER_MS + 1000);

        assertFalse(owner.givesUp(2 * LATER_MS, 2 * LATER_MS));
    }
}
