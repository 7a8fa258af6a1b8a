package org.foxtailplank.organisation;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** Measures the lookup of an API key among ten thousand; prints the time and asserts none. */
public class KeyLookupBenchmark {
    private static final int KEYS = 10_000;
    private static final int LOOKUPS = 2_000_000;

    @Test
    public void lookupOfAKeyAmongTenThousand() throws Exception {
        List<Organisation> all = new ArrayList<>();
        List<String> keys = new ArrayList<>();
        for (int i = 0; i < KEYS; i++) {
            String key = String.format("key-%016x", i * 0x9E3779B97F4A7C15L);
            keys.add(key);
            all.add(new Organisation("o" + i, Set.of(key), 1, ResourceCap.UNLIMITED));
        }
        Organisations organisations = Organisations.of(all);
        int found = 0;
        long start = System.nanoTime();
        for (int i = 0; i < LOOKUPS; i++) {
            // A new string each time, as a header has no cached hash code.
            String sent = new String(keys.get(i % KEYS).toCharArray());
            found += organisations.byKey(sent).isPresent() ? 1 : 0;
        }
        long elapsed = System.nanoTime() - start;

        assertEquals(found, LOOKUPS);
        System.out.println("key lookup: " + elapsed / LOOKUPS + " ns");
    }
}
