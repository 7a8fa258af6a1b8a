package org.foxtailplank.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import org.testng.annotations.Test;

/** Guards against sums that wrap around, so that a full worker seems free. */
public class ResourcesTest {
    private static final Resources LARGEST =
            new Resources(Long.MAX_VALUE, Long.MAX_VALUE, Integer.MAX_VALUE);
    private static final Resources SMALLEST =
            new Resources(Long.MIN_VALUE, Long.MIN_VALUE, Integer.MIN_VALUE);
    private static final Resources SMALL = new Resources(3, 5, 7);

    @Test
    public void amountsWithinTheRangeAreExact() {
        assertEquals(SMALL.plus(SMALL), new Resources(6, 10, 14));
        assertEquals(SMALL.minus(SMALL.times(3)), new Resources(-6, -10, -14));
        assertEquals(LARGEST.minus(SMALL).plus(SMALL), LARGEST);
        assertEquals(SMALL.times(0), Resources.NONE);
    }

    @Test
    public void amountsBeyondTheRangeAreItsLimits() {
        assertEquals(LARGEST.plus(SMALL), LARGEST);
        assertEquals(LARGEST.times(2), LARGEST);
        assertEquals(LARGEST.times(-2), SMALLEST);
        assertEquals(SMALLEST.minus(SMALL), SMALLEST);
        assertEquals(SMALLEST.plus(SMALLEST), SMALLEST);
        assertEquals(Resources.NONE.minus(SMALLEST), LARGEST);
    }

    @Test
    public void twoLargeAmountsDoNotFitTogether() {
        Resources half = new Resources(Long.MAX_VALUE / 2 + 1, 0, 0);

        assertFalse(half.plus(half).fitsIn(half));
    }
}
