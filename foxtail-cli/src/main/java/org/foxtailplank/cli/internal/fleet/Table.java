package org.foxtailplank.cli.internal.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Prints rows in aligned columns.
 *
 * @param <T> type of a row
 */
final class Table<T> {
    private static final String GAP = "  ";

    private final List<String> mTitles = new ArrayList<>();
    private final List<Function<T, Object>> mValues = new ArrayList<>();

    /** Adds a column. */
    Table<T> with(String title, Function<T, Object> value) {
        mTitles.add(title);
        mValues.add(value);
        return this;
    }

    /** The lines of a table, its titles first. */
    List<String> lines(List<T> rows) {
        List<List<String>> cells = new ArrayList<>();
        cells.add(mTitles);
        rows.forEach(r -> cells.add(mValues.stream().map(v -> text(v.apply(r))).toList()));
        int[] widths = new int[mTitles.size()];
        for (List<String> row : cells) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        return cells.stream().map(row -> line(row, widths)).toList();
    }

    private static String line(List<String> row, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < widths.length; i++) {
            line.append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length()));
            line.append(GAP);
        }
        return line.toString().stripTrailing();
    }

    private static String text(Object value) {
        if (value instanceof Optional<?> optional) {
            return optional.map(Object::toString).orElse("-");
        }
        return value instanceof List<?> list
                ? String.join(",", list.stream().map(Object::toString).toList())
                : String.valueOf(value);
    }
}
