package org.foxtailplank.internal.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Names written as a range: {@code r[1-3]-[1-4]} stands for twelve names. */
final class NameRange {
    static final int MAX_NAMES = 100_000;

    private static final Pattern PLAIN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,199}");
    private static final Pattern RANGE = Pattern.compile("\\[(\\d{1,6})-(\\d{1,6})]");

    private NameRange() {}

    /** The names of a range; empty when it is not written as one. */
    static Optional<List<String>> expand(String text) {
        List<String> names = new ArrayList<>(List.of(""));
        Matcher matcher = RANGE.matcher(text);
        int end = 0;
        while (matcher.find()) {
            int first = Integer.parseInt(matcher.group(1));
            int last = Integer.parseInt(matcher.group(2));
            long total = (long) names.size() * (last - first + 1L);
            if (last < first || total > MAX_NAMES) {
                return Optional.empty();
            }
            names = combine(names, text.substring(end, matcher.start()), first, last);
            end = matcher.end();
        }
        String tail = text.substring(end);
        List<String> whole = names.stream().map(n -> n + tail).toList();
        return whole.stream().allMatch(n -> PLAIN.matcher(n).matches())
                ? Optional.of(whole)
                : Optional.empty();
    }

    private static List<String> combine(List<String> heads, String text, int first, int last) {
        List<String> names = new ArrayList<>();
        for (String head : heads) {
            for (int i = first; i <= last; i++) {
                names.add(head + text + i);
            }
        }
        return names;
    }
}
