package org.foxtailplank.it.history;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.request.Outcome;

/** Finds broken promises in a history; it knows nothing of how they are kept. */
public final class HistoryChecker {

    private final Map<String, HistoryEvent.Sent> mSent = new LinkedHashMap<>();
    private final Map<String, List<HistoryEvent.Executed>> mExecuted = new LinkedHashMap<>();
    private final Map<String, List<HistoryEvent.Answered>> mAnswered = new LinkedHashMap<>();
    private final List<Violation> mViolations = new ArrayList<>();

    private HistoryChecker(List<HistoryEvent> events) {
        for (HistoryEvent event : events) {
            if (event instanceof HistoryEvent.Sent s) {
                mSent.put(s.request(), s);
            } else if (event instanceof HistoryEvent.Executed e) {
                mExecuted.computeIfAbsent(e.request(), r -> new ArrayList<>()).add(e);
            } else if (event instanceof HistoryEvent.Answered a) {
                mAnswered.computeIfAbsent(a.request(), r -> new ArrayList<>()).add(a);
            }
        }
    }

    /** Every broken promise of a history; attempts explain it, and break no promise alone. */
    public static List<Violation> check(History history) {
        HistoryChecker checker = new HistoryChecker(history.events());
        checker.checkExecutions();
        checker.checkAnswers();
        checker.checkKeys();
        return List.copyOf(checker.mViolations);
    }

    private void checkExecutions() {
        mExecuted.forEach(
                (request, executions) -> {
                    HistoryEvent.Sent sent = mSent.get(request);
                    if (sent == null) {
                        found(Violation.Kind.DAMAGED_REQUEST, request, "nobody sent it");
                        return;
                    }
                    for (HistoryEvent.Executed e : executions) {
                        if (!e.checksum().equals(sent.checksum())) {
                            String detail = e.instance() + " saw another body";
                            found(Violation.Kind.DAMAGED_REQUEST, request, detail);
                        }
                    }
                    boolean once = !sent.repeatable() && sent.key().isEmpty();
                    if (once && executions.size() > 1) {
                        found(Violation.Kind.RAN_TWICE, request, executions.toString());
                    }
                });
    }

    private void checkAnswers() {
        for (HistoryEvent.Sent sent : mSent.values()) {
            List<HistoryEvent.Answered> answers = mAnswered.getOrDefault(sent.request(), List.of());
            if (answers.isEmpty()) {
                found(Violation.Kind.NEVER_ANSWERED, sent.request(), "by " + sent.entry());
            }
            if (answers.size() > 1) {
                found(Violation.Kind.ANSWERED_TWICE, sent.request(), answers.toString());
            }
            answers.forEach(a -> checkAnswer(sent, a));
        }
    }

    private void checkAnswer(HistoryEvent.Sent sent, HistoryEvent.Answered answer) {
        if (answer.outcome() == Outcome.NOT_RUN && mExecuted.containsKey(sent.request())) {
            found(Violation.Kind.FALSE_NOT_RUN, sent.request(), "" + mExecuted.get(sent.request()));
        }
        if (answer.outcome() != Outcome.OK) {
            return;
        }
        if (answer.answers().isEmpty()) {
            found(Violation.Kind.SHORT_ANSWER, sent.request(), "no whole answer in the body");
            return;
        }
        String answers = answer.answers().get();
        boolean own = answers.equals(sent.request());
        boolean ofSameKey =
                sent.key().isPresent()
                        && Optional.ofNullable(mSent.get(answers))
                                .filter(s -> s.key().equals(sent.key()))
                                .isPresent();
        boolean sameBody = answer.checksum().equals(sent.checksum());
        if (!own && !ofSameKey || !sameBody || !mExecuted.containsKey(answers)) {
            found(Violation.Kind.SWAPPED_ANSWER, sent.request(), "it answers " + answers);
        }
    }

    private void checkKeys() {
        Map<String, List<HistoryEvent.Executed>> executions = new LinkedHashMap<>();
        Map<String, String> answers = new LinkedHashMap<>();
        for (HistoryEvent.Sent sent : mSent.values()) {
            if (sent.key().isEmpty() || sent.repeatable()) {
                continue;
            }
            String key = sent.key().get();
            executions
                    .computeIfAbsent(key, k -> new ArrayList<>())
                    .addAll(mExecuted.getOrDefault(sent.request(), List.of()));
            for (HistoryEvent.Answered a : mAnswered.getOrDefault(sent.request(), List.of())) {
                checkSameAnswer(key, a, answers);
            }
        }
        executions.forEach(
                (key, runs) -> {
                    if (runs.size() > 1) {
                        found(Violation.Kind.RAN_TWICE, "key " + key, runs.toString());
                    }
                });
    }

    private void checkSameAnswer(
            String key, HistoryEvent.Answered answer, Map<String, String> answers) {
        if (answer.outcome() != Outcome.OK || answer.answers().isEmpty()) {
            return;
        }
        String first = answers.putIfAbsent(key, answer.answers().get());
        if (first != null && !first.equals(answer.answers().get())) {
            String detail = first + " and " + answer.answers().get();
            found(Violation.Kind.TWO_ANSWERS, "key " + key, detail);
        }
    }

    private void found(Violation.Kind kind, String request, String detail) {
        mViolations.add(new Violation(kind, request, detail));
    }
}
