package org.foxtailplank.internal.state;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.foxtailplank.id.RecordId;
import org.testng.annotations.Test;

/** How long the ids of records are remembered. */
public class IdWindowTest {
    private static final long SEED = 20261202;

    @Test
    public void remembersExactlyTheNewestIds() {
        IdWindow w = IdWindow.empty();
        Random random = new Random(SEED);
        Map<String, Long> firstAt = new HashMap<>();
        for (long offset = 1; offset < 5L * IdWindow.SIZE; offset++) {
            String id = "id-" + random.nextInt(2 * IdWindow.SIZE);
            Long first = firstAt.get(id);
            boolean known = first != null && first > offset - IdWindow.SIZE;
            assertEquals(w.add(RecordId.of(id), offset), !known, "at " + offset);
            if (!known) {
                firstAt.put(id, offset);
            }
        }
    }

    /**
     * An append hangs in the network for long and its writer repeats it. The second copy arrives
     * when the first one's id is forgotten. The basis tells that it is too late to check.
     */
    @Test
    public void refusesARecordWhoseFirstCopyMayBeForgotten() {
        long basis = 10;
        IdWindow w = IdWindow.empty();
        assertTrue(w.add(RecordId.of("a"), basis));
        long last = basis + IdWindow.SIZE - 1;
        for (long offset = basis + 1; offset < last; offset++) {
            w.forget(offset);
        }
        assertTrue(IdWindow.covers(basis, last));
        assertFalse(w.add(RecordId.of("a"), last));
        assertFalse(IdWindow.covers(basis, last + 1));
    }

    @Test
    public void isTheSameAfterItsHashesWereStored() {
        IdWindow w = IdWindow.empty();
        for (long offset = 1; offset < 3L * IdWindow.SIZE / 2; offset++) {
            w.add(RecordId.of("id-" + offset), offset);
        }
        IdWindow copy = IdWindow.of(w.hashes());
        long next = 3L * IdWindow.SIZE / 2;
        assertFalse(copy.add(RecordId.of("id-" + (next - IdWindow.SIZE + 1)), next));
        assertTrue(copy.add(RecordId.of("id-1"), next + 1));
    }
}
