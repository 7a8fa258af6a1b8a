package org.foxtailplank.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Guards against refused callers that fill a node's heap. */
public class PlaceTableTest {
    private static final int PLACES = ReturnSchedule.MAX_PLACES;
    private static final int MAX_BYTES_EACH = 64;

    @Test
    public void aFullTableTakesAtMost64BytesForEachPlace() {
        PlaceTable table = new PlaceTable(PLACES);
        for (int i = 0; i < PLACES; i++) {
            table.put(PlaceTable.key("job" + i), new PlaceTable.Place(0, 0, 1000, 1, 1));
        }

        assertEquals(table.size(), PLACES);
        assertTrue(table.bytes() <= (long) MAX_BYTES_EACH * PLACES, table.bytes() + " bytes");
    }
}
