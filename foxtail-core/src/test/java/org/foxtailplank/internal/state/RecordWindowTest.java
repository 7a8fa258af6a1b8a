package org.foxtailplank.internal.state;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.state.Basis;
import org.testng.annotations.Test;

/** Tests duplicate detection over the record window. */
public class RecordWindowTest {
    private static final long SEED = 20261202;

    @Test
    public void remembersExactlyTheNewestIds() {
        RecordWindow w = RecordWindow.empty();
        Random random = new Random(SEED);
        Map<String, Long> firstAt = new HashMap<>();
        for (long offset = 1; offset < 5L * RecordWindow.SIZE; offset++) {
            String id = "id-" + random.nextInt(2 * RecordWindow.SIZE);
            Long first = firstAt.get(id);
            boolean known = first != null && first > offset - RecordWindow.SIZE;
            assertEquals(w.add(RecordId.of(id), offset), !known, "at " + offset);
            if (!known) {
                firstAt.put(id, offset);
            }
        }
    }

    /** Guards against a delayed duplicate that arrives after the first copy left the window. */
    @Test
    public void refusesARecordWhoseFirstCopyMayHaveLeftTheWindow() {
        Basis basis = new Basis(10, 0);
        RecordWindow w = RecordWindow.empty();
        assertTrue(w.add(RecordId.of("a"), basis.offset()));
        long last = basis.offset() + RecordWindow.SIZE - 1;
        for (long offset = basis.offset() + 1; offset < last; offset++) {
            w.add(RecordId.of("other-" + offset), offset);
        }
        assertTrue(RecordWindow.covers(basis, last));
        assertFalse(w.add(RecordId.of("a"), last));
        assertFalse(RecordWindow.covers(basis, last + 1));
    }

    @Test
    public void restoresItsContents() {
        RecordWindow w = RecordWindow.empty();
        for (long offset = 1; offset < 3L * RecordWindow.SIZE / 2; offset++) {
            w.add(RecordId.of("id-" + offset), offset);
        }
        RecordWindow copy = RecordWindow.of(w.contents());
        long next = 3L * RecordWindow.SIZE / 2;
        assertFalse(copy.add(RecordId.of("id-" + (next - RecordWindow.SIZE + 1)), next));
        assertTrue(copy.add(RecordId.of("id-1"), next + 1));
    }
}
