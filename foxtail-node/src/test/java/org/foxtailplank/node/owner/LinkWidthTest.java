package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Which links bear the work of an owner. */
public class LinkWidthTest {
    @Test(dataProvider = "links")
    public void aLinkIsWideFromFiftyMegabitsASecond(double mbps, LinkWidth expected) {
        assertEquals(LinkWidth.of(mbps), expected);
    }

    @DataProvider
    public Object[][] links() {
        return new Object[][] {
            {7, LinkWidth.NARROW},
            {49.9, LinkWidth.NARROW},
            {50, LinkWidth.WIDE},
            {140, LinkWidth.WIDE},
            {Double.POSITIVE_INFINITY, LinkWidth.WIDE}
        };
    }
}
