package org.foxtailplank.node.owner;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.foxtailplank.node.LinkRate;
import org.testng.annotations.Test;

/** Whether an owner gives its place up for its link's sake. */
public class NarrowOwnerPlaceTest {
    private static final LinkRate NARROW = new LinkRate(10);
    private static final LinkRate WIDE = new LinkRate(200);
    private static final long LATER_MS = 5000;

    private static NarrowOwner owner(LinkRate link) {
        NarrowOwner owner = new NarrowOwner(link);
        owner.owns(0);
        return owner;
    }

    /** Guards against a node on a narrow link that stays the owner while better ones follow it. */
    @Test
    public void anOwnerOnANarrowLinkGivesUpForAFollowerOnAnAmpleOne() {
        assertTrue(owner(NARROW).givesUp(LATER_MS - 100, LATER_MS));
    }

    @Test
    public void anOwnerStaysWhileNobodyElseCouldOwn() {
        assertFalse(owner(NARROW).givesUp(Long.MIN_VALUE / 2, LATER_MS));
        assertFalse(owner(NARROW).givesUp(0, LATER_MS));
    }

    @Test
    public void anOwnerOnAnAmpleOrUnknownLinkStays() {
        assertFalse(owner(WIDE).givesUp(LATER_MS, LATER_MS));
        assertFalse(owner(LinkRate.UNKNOWN).givesUp(LATER_MS, LATER_MS));
    }

    /** Guards against a place that two nodes hand to each other again and again. */
    @Test
    public void anOwnerThatIsBackSoonStays() {
        NarrowOwner owner = owner(NARROW);
        assertFalse(owner.givesUp(100, 100));
        assertTrue(owner.givesUp(LATER_MS, LATER_MS));
        owner.owns(LATER_MS + 1000);

        assertFalse(owner.givesUp(2 * LATER_MS, 2 * LATER_MS));
    }
}
