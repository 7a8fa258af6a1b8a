package org.foxtailplank.demo.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.foxtailplank.load.internal.run.Ending;
import org.foxtailplank.standin.Execution;
import org.foxtailplank.standin.PlatformStandin;

/** Checks what callers saw against what backend servers ran. */
public final class Promises {

    private final List<String> mLines = new ArrayList<>();
    private boolean mKept = true;

    /** Notes whether one promise held. */
    public void check(boolean held, String promise, String detail) {
        mKept &= held;
        mLines.add((held ? "held    " : "BROKEN  ") + promise + " (" + detail + ")");
    }

    /** Whether all held. */
    public boolean kept() {
        return mKept;
    }

    /** A line for each. */
    public List<String> lines() {
        return List.copyOf(mLines);
    }

    /** Compares requests with their runs. */
    public void checkRequests(Map<String, Callers.Asked> asked, PlatformStandin platform) {
        Map<String, Long> runs =
                platform.executions().values().stream()
                        .flatMap(List::stream)
                        .map(Execution::path)
                        .map(path -> path.substring(path.lastIndexOf('/') + 1))
                        .collect(Collectors.groupingBy(id -> id, Collectors.counting()));
        long wrong = asked.values().stream().filter(a -> a.ending() == Ending.WRONG).count();
        long errors = asked.values().stream().filter(a -> a.ending() == Ending.ERROR).count();
        long twice =
                asked.values().stream()
                        .filter(a -> !a.request().traffic().repeatable())
                        .filter(a -> runs.getOrDefault(a.request().id(), 0L) > 1)
                        .count();
        long falselyNotRun =
                asked.values().stream()
                        .filter(a -> a.ending() == Ending.NOT_RUN)
                        .filter(a -> runs.containsKey(a.request().id()))
                        .count();
        long answered = asked.values().stream().filter(a -> a.ending() == Ending.OK).count();
        check(
                answered > 0 && wrong == 0 && errors == 0,
                "each caller got the whole answer to its own request",
                answered + " answered, " + wrong + " mixed up or short, " + errors + " broken");
        check(
                falselyNotRun == 0,
                "what was refused as not-run did not run",
                falselyNotRun + " ran");
        check(
                twice == 0,
                "what must not be repeated ran at most once",
                twice + " of " + asked.size() + " ran twice");
        check(
                platform.cutOff() == 0,
                "every planned stop was graceful",
                platform.cutOff() + " requests in flight were cut off");
    }
}
