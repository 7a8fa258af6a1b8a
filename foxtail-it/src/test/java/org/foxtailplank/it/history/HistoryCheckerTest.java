package org.foxtailplank.it.history;

import static org.testng.Assert.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.request.Outcome;
import org.testng.annotations.Test;

/** The checker finds each kind of broken promise, and nothing in a history that keeps them. */
public class HistoryCheckerTest {

    @Test
    public void findsNothingWhereRepeatedKeysGotTheFirstAnswer() throws Exception {
        History history = new History();
        sent(history, "r1", "k", false);
        sent(history, "r2", "k", false);
        executed(history, "r1");
        answered(history, "r1", Outcome.OK, "r1");
        answered(history, "r2", Outcome.OK, "r1");
        sent(history, "r3", "k2", false);
        answered(history, "r3", Outcome.NOT_RUN, "");
        assertEquals(HistoryChecker.check(history), List.of());
        Path file = Files.createTempFile("history", ".jsonl");
        history.write(file);
        assertEquals(History.read(file).events(), history.events());
        Files.delete(file);
    }

    @Test
    public void findsKeyThatRanTwiceUnderTwoRequestIds() {
        History history = new History();
        sent(history, "r1", "k", false);
        sent(history, "r2", "k", false);
        executed(history, "r1");
        executed(history, "r2");
        answered(history, "r1", Outcome.OK, "r1");
        answered(history, "r2", Outcome.UNKNOWN, "");
        assertEquals(kinds(history), List.of(Violation.Kind.RAN_TWICE));
    }

    @Test
    public void findsUnrepeatableRequestThatRanTwiceButAllowsRepeatableOne() {
        History history = new History();
        sent(history, "r1", "", false);
        sent(history, "r2", "", true);
        for (String request : List.of("r1", "r2")) {
            executed(history, request);
            executed(history, request);
            answered(history, request, Outcome.OK, request);
        }
        assertEquals(kinds(history), List.of(Violation.Kind.RAN_TWICE));
    }

    @Test
    public void findsSwappedAnswerAndShortAnswer() {
        History history = new History();
        sent(history, "r1", "", true);
        sent(history, "r2", "", true);
        executed(history, "r1");
        executed(history, "r2");
        answered(history, "r1", Outcome.OK, "r2");
        answered(history, "r2", Outcome.OK, "");
        assertEquals(
                kinds(history),
                List.of(Violation.Kind.SWAPPED_ANSWER, Violation.Kind.SHORT_ANSWER));
    }

    @Test
    public void findsRequestThatRanAndWasToldNotRun() {
        History history = new History();
        sent(history, "r1", "", false);
        executed(history, "r1");
        answered(history, "r1", Outcome.NOT_RUN, "");
        assertEquals(kinds(history), List.of(Violation.Kind.FALSE_NOT_RUN));
    }

    @Test
    public void findsLostAnswersAndSecondAnswers() {
        History history = new History();
        sent(history, "r1", "", false);
        sent(history, "r2", "", false);
        answered(history, "r2", Outcome.NOT_RUN, "");
        answered(history, "r2", Outcome.NOT_RUN, "");
        assertEquals(
                kinds(history),
                List.of(Violation.Kind.NEVER_ANSWERED, Violation.Kind.ANSWERED_TWICE));
    }

    @Test
    public void findsDamagedRequestAndRequestNobodySent() {
        History history = new History();
        sent(history, "r1", "", true);
        history.add(new HistoryEvent.Executed("r1", "vm1", "other"));
        answered(history, "r1", Outcome.UNKNOWN, "");
        executed(history, "r9");
        assertEquals(
                kinds(history),
                List.of(Violation.Kind.DAMAGED_REQUEST, Violation.Kind.DAMAGED_REQUEST));
    }

    private static List<Violation.Kind> kinds(History history) {
        return HistoryChecker.check(history).stream().map(Violation::kind).toList();
    }

    private static void sent(History history, String request, String key, boolean repeatable) {
        Optional<String> k = key.isEmpty() ? Optional.empty() : Optional.of(key);
        history.add(new HistoryEvent.Sent(request, k, repeatable, "entry-1", "sum"));
    }

    private static void executed(History history, String request) {
        history.add(new HistoryEvent.Executed(request, "vm1", "sum"));
    }

    private static void answered(History history, String request, Outcome outcome, String answers) {
        Optional<String> of = answers.isEmpty() ? Optional.empty() : Optional.of(answers);
        history.add(new HistoryEvent.Answered(request, outcome, of, "sum"));
    }
}
