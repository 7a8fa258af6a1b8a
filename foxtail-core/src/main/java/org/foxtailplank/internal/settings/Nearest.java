package org.foxtailplank.internal.settings;

import java.util.Collection;
import java.util.Locale;

/** Finds the known name that was probably meant. */
final class Nearest {
    /** Edits beyond this share of a name's length make it another word. */
    private static final double MAX_EDITS = 0.5;

    private Nearest() {}

    /** The nearest name, or an empty text when none is near. */
    static String to(String name, Collection<String> known) {
        String best = "";
        int fewest = Integer.MAX_VALUE;
        for (String candidate : known) {
            int edits = edits(name.toLowerCase(Locale.ROOT), candidate.toLowerCase(Locale.ROOT));
            if (edits < fewest) {
                fewest = edits;
                best = candidate;
            }
        }
        return fewest <= Math.max(name.length(), best.length()) * MAX_EDITS ? best : "";
    }

    /** Levenshtein distance. */
    private static int edits(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int substituted = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(substituted, 1 + Math.min(row[j], row[j - 1]));
            }
        }
        return row[b.length()];
    }
}
