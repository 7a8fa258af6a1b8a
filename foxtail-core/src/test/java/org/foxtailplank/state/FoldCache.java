package org.foxtailplank.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Folds logs from the start and caches the most recently used results. */
final class FoldCache {
    private static final int KEPT = 2_000;

    private final Map<String, Folded> mFolds =
            new LinkedHashMap<>(KEPT, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Folded> eldest) {
                    return size() > KEPT;
                }
            };

    /**
     * A folded log.
     *
     * @param state state at its end
     * @param verdicts verdict of each record
     * @param records the records
     */
    record Folded(FleetState state, List<Verdict> verdicts, List<LogRecord> records) {}

    Folded fold(List<LogRecord> log) {
        StringBuilder key = new StringBuilder();
        log.forEach(r -> key.append(r.id()).append(' '));
        Folded known = mFolds.get(key.toString());
        if (known == null) {
            FleetState state = new FleetState();
            List<Verdict> verdicts = new ArrayList<>();
            log.forEach(r -> verdicts.add(state.apply(state.nextOffset(), r)));
            known = new Folded(state, verdicts, List.copyOf(log));
            mFolds.put(key.toString(), known);
        }
        return known;
    }
}
