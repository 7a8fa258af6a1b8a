package org.foxtailplank.load.internal.waits;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.List;
import org.testng.annotations.Test;

/** For what jobs waited, from log lines. */
public class WaitTableTest {

    private static String row(String... lines) throws IOException {
        WaitLog log = new WaitLog();
        for (String l : lines) {
            log.line(l);
        }
        List<String> table = new WaitTable(log).lines();
        assertEquals(table.size(), 2);
        return table.get(1).replaceAll(" +", " ");
    }

    private static String accepted(long ms, String job) {
        return line(ms, "job-submitted", "\"job\":\"%s\",\"outcome\":\"STORED\"", job);
    }

    private static String started(long ms, String job) {
        return line(ms, "start-order", "\"task\":\"%s.0.0.0\",\"outcome\":\"DONE\"", job);
    }

    private static String line(long ms, String kind, String fields, Object... values) {
        String rest = String.format(fields, values);
        return String.format("{\"ms\":%d,\"kind\":\"%s\",\"service\":\"s\",%s}", ms, kind, rest);
    }

    @Test
    public void aJobThatStartsAtOnceWaitsForNothing() throws IOException {
        String row = row(accepted(1000, "aa"), "  1.05 node-1 " + started(1050, "aa"));

        assertEquals(row, "s 1 0 0 0.0 0.0 0.0 0.1");
    }

    @Test
    public void aJobThatComesWhileNobodyOwnsWaitsForTheNextOwner() throws IOException {
        String row =
                row(
                        started(1000, "other"),
                        accepted(2000, "aa"),
                        line(4000, "owner-loaded", "\"token\":2"),
                        started(5060, "aa"));

        assertEquals(row, "s 1 0 0 2.0 0.0 1.0 0.1");
    }

    @Test
    public void refusalsOfTheStoreThatOverlapCountOnce() throws IOException {
        String row =
                row(
                        accepted(1000, "aa"),
                        line(1000, "owner-append", "\"token\":1"),
                        line(1100, "owner-append", "\"token\":1"),
                        started(2000, "aa"));

        assertEquals(row, "s 1 0 0 0.0 0.4 0.6 0.1", "350 ms of the store, 590 ms for room");
    }

    @Test
    public void jobsThatWereRefusedOrNeverStartedAreCounted() throws IOException {
        String refused = line(900, "job-submitted", "\"job\":\"bb\",\"outcome\":\"NOT_STORED\"");

        assertEquals(row(refused, accepted(1000, "aa")), "s 1 1 1 0.0 0.0 0.0 0.0");
    }
}
