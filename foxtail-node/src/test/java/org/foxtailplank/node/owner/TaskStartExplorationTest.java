package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/**
 * Explores changes of the owner, failures of workers and of the store, and calls that are carried
 * out late, in random order. {@code -Dtaskstart.first} and {@code -Dtaskstart.seeds} select the
 * seeds, and {@code -Dtaskstart.trace} names a directory for the traces of those that fail.
 */
public class TaskStartExplorationTest {
    /** Guards against two runs of a task at a time, and a start after an acknowledged end. */
    @Test
    public void aTaskNeverRunsTwiceWhateverFails() throws IOException {
        long first = Long.getLong("taskstart.first", 1);
        int seeds = Integer.getInteger("taskstart.seeds", 40);
        List<String> violations = new ArrayList<>();
        long starts = 0;
        long takeovers = 0;
        for (long seed = first; seed < first + seeds; seed++) {
            TaskStartSimulation simulation = new TaskStartSimulation(seed);
            simulation.run();
            starts += simulation.runs().starts();
            takeovers += simulation.takeovers();
            if (simulation.runs().violation().isPresent()) {
                violations.add("seed " + seed + " at " + simulation.runs().violation().get());
                writeTrace(seed, simulation);
            }
        }
        System.out.println(
                "task starts explored: "
                        + seeds
                        + " seeds, "
                        + starts
                        + " starts, "
                        + takeovers
                        + " takeovers, "
                        + violations.size()
                        + " violations");
        violations.forEach(System.out::println);
        assertTrue(starts > 0 && takeovers > 0, "tasks start and owners change");
        assertEquals(violations, List.of());
    }

    private static void writeTrace(long seed, TaskStartSimulation simulation) throws IOException {
        String directory = System.getProperty("taskstart.trace", "");
        if (directory.isEmpty()) {
            return;
        }
        Path file = Files.createDirectories(Path.of(directory)).resolve("seed-" + seed + ".txt");
        try (PrintStream out =
                new PrintStream(Files.newOutputStream(file), false, StandardCharsets.UTF_8)) {
            simulation.runs().trace().forEach(out::println);
            for (SimulatedNode node : simulation.processes()) {
                out.println("LOG of " + node.name());
                node.log().flush(out);
            }
        }
    }
}
