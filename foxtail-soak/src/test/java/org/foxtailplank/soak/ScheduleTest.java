package org.foxtailplank.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Schedules and their text. */
public class ScheduleTest {
    private static final SoakSize SIZE = new SoakSize(20, 3, 6, 15);

    @Test
    public void aScheduleIsTheSameForTheSameSeed() {
        assertEquals(Schedule.draw(5, SIZE).text(), Schedule.draw(5, SIZE).text());
        assertTrue(Schedule.draw(5, SIZE).faults().size() > 3);
    }

    @Test
    public void aScheduleThatWasPrintedIsReadAgain() throws ScheduleException {
        String text = Schedule.draw(7, SIZE).text();

        assertEquals(Schedule.parse(text).text(), text);
    }

    @Test
    public void aBadLineIsNamedByItsNumber() {
        String[][] bad = {
            {"run 1 20 3 6 15\nat x node-kill 1 for 2\nend calm", "line 2: a number"},
            {"run 1 20 3 6 15\nat 1 node-fire 1 for 2\nend calm", "line 2: no fault node-fire"},
            {"run 1 20 3 6 15\n# why\nat 1 node-kill 6 for 2\nend calm", "line 3: the run has no"},
            {"run 1 20 3 2 15\nend calm", "line 1: a run takes"},
            {"run 1 20 3 6 15\nend soon", "line 2: no such ending"},
            {"begin", "line 1: 'begin' is no"},
            {"run 1 20 3 6 15\n", "line 1: a line with run and one with end"}
        };
        for (String[] b : bad) {
            ScheduleException e = expectThrows(ScheduleException.class, () -> Schedule.parse(b[0]));
            assertTrue(e.getMessage().startsWith(b[1]), e.getMessage());
        }
    }

    @Test
    public void aFaultCanBeLeftOut() {
        Schedule drawn = Schedule.draw(9, SIZE);

        assertEquals(drawn.without(0).faults(), drawn.faults().subList(1, drawn.faults().size()));
    }

    /** Guards against a soak whose outages are all shorter than the history of the store. */
    @Test
    public void longRunsHaveOutagesInSeriesThatOutlastTheRetention() {
        Schedule drawn = Schedule.draw(1, new SoakSize(45, 3, 6, 15));
        List<Schedule.Fault> series =
                drawn.faults().stream()
                        .filter(f -> f.forS() == 4.5 || f.forS() == 9.5)
                        .limit(4)
                        .toList();

        assertEquals(
                series.stream().map(Schedule.Fault::kind).toList(),
                List.of(
                        FaultKind.STORE_BUSY,
                        FaultKind.NODES_KILL,
                        FaultKind.STORE_BUSY,
                        FaultKind.NODES_KILL));
        for (int i = 1; i < series.size(); i++) {
            Schedule.Fault before = series.get(i - 1);
            assertTrue(series.get(i).atS() < before.atS() + before.forS());
        }
        Schedule.Fault last = series.get(series.size() - 1);
        assertTrue(last.atS() + last.forS() - series.get(0).atS() > drawn.retentionS());
    }

    /** Guards against kept schedules that name faults which are no longer played. */
    @Test
    public void keptSchedulesAreRead() throws IOException, ScheduleException {
        List<Path> kept;
        try (Stream<Path> files = Files.list(Path.of("schedules"))) {
            kept = files.toList();
        }
        assertFalse(kept.isEmpty());
        for (Path file : kept) {
            assertFalse(Schedule.parse(Files.readString(file)).faults().isEmpty(), "" + file);
        }
    }

    @Test
    public void ownersChangePlacesInEachLongRun() {
        Schedule drawn = Schedule.draw(6, new SoakSize(60, 3, 6, 15));

        for (FaultKind kind :
                List.of(
                        FaultKind.OWNERS_KILL,
                        FaultKind.OWNERS_PAUSE,
                        FaultKind.OWNER_STUTTER,
                        FaultKind.OWNER_APPENDS_REFUSED,
                        FaultKind.SUCCESSOR_APPENDS_REFUSED)) {
            assertTrue(drawn.faults().stream().anyMatch(f -> f.kind() == kind), "" + kind);
        }
    }

    @Test
    public void aRunWithAShortRetentionRestartsEachNodeInTurn() {
        Schedule rolling = Schedule.draw(8, SIZE);
        Schedule other = Schedule.draw(9, SIZE);

        assertTrue(rolling.retentionS() < other.retentionS());
        for (int node = 0; node < SIZE.nodes(); node++) {
            int target = node;
            assertTrue(
                    rolling.faults().stream()
                            .anyMatch(
                                    f -> f.kind() == FaultKind.NODE_TERM && f.target() == target));
        }
    }
}
