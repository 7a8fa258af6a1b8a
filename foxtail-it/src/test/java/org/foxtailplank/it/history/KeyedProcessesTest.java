package org.foxtailplank.it.history;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.foxtailplank.request.Outcome;
import org.foxtailplank.standin.Execution;
import org.testng.annotations.Test;

/** Keys through the real binary while its processes are killed, paused and cut from the log. */
public class KeyedProcessesTest {

    private static final int ENTRIES = 3;
    private static final int ROUNDS = 8;
    private static final int KEYS = 25;
    private static final int SEED = Integer.getInteger("foxtail.seed", 4711);
    private static final Duration DEADLINE = Duration.ofSeconds(3);

    /** What goes wrong in a round. */
    private enum Fault {
        KILL,
        PAUSE,
        LOSE_ANSWERS,
        SLOW_LOG,
        LOG_AWAY,
        KILL_AND_LOSE_ANSWERS
    }

    /**
     * Callers send each key to several entries, and again when they hear nothing good, while
     * entries die, freeze and come back and the log is slow, away or loses its answers. Nobody may
     * be paid twice, get another's answer, or hear not-run of what ran.
     */
    @Test
    public void noKeyRunsTwiceWhileEntriesDieAndFreeze() throws Exception {
        Random random = new Random(SEED);
        CallerLog callers = new CallerLog();
        Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);
        try (EntryProcesses entries = new EntryProcesses(ENTRIES)) {
            awaitReady(entries, callers);
            for (int round = 0; round < ROUNDS; round++) {
                Fault fault = Fault.values()[round % Fault.values().length];
                int victim = random.nextInt(ENTRIES);
                List<CompletableFuture<CallerLog.Result>> calls = new ArrayList<>();
                for (int key = 0; key < KEYS; key++) {
                    if (key == KEYS / 2) {
                        begin(fault, victim, entries, callers);
                    }
                    calls.addAll(ask(entries, callers, "r" + round + "-" + key, random));
                }
                KeyedEntries.await(
                        () -> calls.stream().filter(CompletableFuture::isDone).count() >= KEYS);
                end(fault, victim, entries, callers);
                calls.forEach(c -> outcomes.merge(c.join().outcome(), 1, Integer::sum));
                awaitReady(entries, callers);
                for (int key = 0; key < KEYS; key++) {
                    URI entry = entries.entry(random.nextInt(ENTRIES));
                    String name = "r" + round + "-" + key;
                    callers.post(entry, name, "claim " + name, DEADLINE).join();
                }
            }
            Map<String, List<Execution>> runs =
                    entries.platform().executions().entrySet().stream()
                            .collect(
                                    Collectors.toMap(e -> e.getKey().value(), Map.Entry::getValue));
            int ran = runs.values().stream().mapToInt(List::size).sum();
            System.out.println("seed " + SEED + ": " + outcomes + ", " + ran + " runs");
            History history = callers.withExecutions(runs);
            List<Violation> violations = HistoryChecker.check(history);
            history.write(Path.of("target", "keyed-processes.jsonl"));
            assertEquals(violations.toString(), "[]");
            assertTrue(ran > ROUNDS * KEYS / 2, "only " + ran + " requests ran");
        }
    }

    private static List<CompletableFuture<CallerLog.Result>> ask(
            EntryProcesses entries, CallerLog callers, String key, Random random) {
        List<CompletableFuture<CallerLog.Result>> calls = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            URI first = entries.entry(random.nextInt(ENTRIES));
            URI second = entries.entry(random.nextInt(ENTRIES));
            calls.add(
                    callers.post(first, key, "claim " + key, DEADLINE)
                            .thenCompose(
                                    r ->
                                            r.outcome() == Outcome.OK
                                                    ? CompletableFuture.completedFuture(r)
                                                    : callers.post(
                                                            second,
                                                            key,
                                                            "claim " + key,
                                                            DEADLINE)));
        }
        return calls;
    }

    private static void begin(Fault fault, int victim, EntryProcesses entries, CallerLog callers)
            throws Exception {
        switch (fault) {
            case KILL -> entries.kill(victim);
            case PAUSE -> entries.pause(victim);
            case LOSE_ANSWERS -> fault(entries, callers, "\"lose-answer\",\"probability\":0.5");
            case SLOW_LOG -> fault(entries, callers, "\"delay\",\"delayMs\":400");
            case LOG_AWAY -> fault(entries, callers, "\"hang\"");
            case KILL_AND_LOSE_ANSWERS -> {
                fault(entries, callers, "\"lose-answer\"");
                entries.kill(victim);
            }
            default -> throw new IllegalStateException("no such fault");
        }
    }

    private static void end(Fault fault, int victim, EntryProcesses entries, CallerLog callers)
            throws Exception {
        callers.control(entries.platform().address().resolve("/faults"), "DELETE", "");
        if (fault == Fault.PAUSE) {
            entries.goOn(victim);
        } else if (fault == Fault.KILL || fault == Fault.KILL_AND_LOSE_ANSWERS) {
            entries.replace(victim);
        }
    }

    private static void fault(EntryProcesses entries, CallerLog callers, String kind)
            throws Exception {
        String json = "{\"target\":\"log\",\"stream\":\"claims\",\"kind\":" + kind + "}";
        callers.control(entries.platform().address().resolve("/faults"), "POST", json);
    }

    private static void awaitReady(EntryProcesses entries, CallerLog callers) {
        for (int i = 0; i < ENTRIES; i++) {
            URI entry = entries.entry(i);
            KeyedEntries.await(
                    () -> {
                        String key = "probe-" + System.nanoTime();
                        return callers.post(entry, key, key, DEADLINE).join().status() == 200;
                    });
        }
    }
}
