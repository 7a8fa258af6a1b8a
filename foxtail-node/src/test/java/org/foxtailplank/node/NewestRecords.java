package org.foxtailplank.node;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.foxtailplank.port.SharedLog.NewestPage;
import org.foxtailplank.port.SharedLog.OffsetRecord;

/** Finds the newest record of each key among all records of a partition, as the platform does. */
public final class NewestRecords {
    private static final int PAGE_RECORDS = 500;

    private NewestRecords() {}

    /** Returns the page of the keys after this one; empty for the first page. */
    public static NewestPage page(List<byte[]> records, String after) {
        TreeMap<String, OffsetRecord> newest = new TreeMap<>();
        for (int i = 0; i < records.size(); i++) {
            byte[] record = records.get(i);
            int valueOffset = 1 + record[0];
            String key = new String(record, 1, valueOffset - 1, StandardCharsets.UTF_8);
            if (valueOffset == record.length) {
                newest.remove(key);
            } else {
                newest.put(key, new OffsetRecord(i, record));
            }
        }
        Map<String, OffsetRecord> rest = newest.tailMap(after, false);
        List<OffsetRecord> page = new ArrayList<>();
        Optional<String> next = Optional.empty();
        for (Map.Entry<String, OffsetRecord> e : rest.entrySet()) {
            page.add(e.getValue());
            if (page.size() == PAGE_RECORDS) {
                next = Optional.of(e.getKey());
                break;
            }
        }
        return new NewestPage(page, next);
    }
}
