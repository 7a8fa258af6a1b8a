package org.foxtailplank.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.foxtailplank.process.ExitCode;
import org.testng.annotations.Test;

/** Checks and shows settings files from the command line. */
public final class SettingsCommandsTest {
    private static final String BASE = "../examples/laurentides/base.jsonc";
    private static final String OVERLAY = "../examples/laurentides/quebec-4.jsonc";

    @Test
    void checkSumsUpSettingsThatHold() {
        CliRun run = CliRun.of("settings", "check", BASE, "--overlay", OVERLAY);
        assertEquals(run.code(), ExitCode.DONE);
        assertTrue(
                run.out().contains("laurentides with 4 zones, 10 racks, 40 VMs, 5 services"),
                run.out());
    }

    @Test
    void showNamesTheFileOfEachValue() {
        CliRun run = CliRun.of("settings", "show", BASE, "--overlay", OVERLAY);
        assertEquals(run.code(), ExitCode.DONE);
        assertTrue(
                run.out().contains("fleet.drainTimeout = \"45s\"  // " + OVERLAY + ":4\n"),
                run.out());
        assertTrue(run.out().contains("fleet.rebootTime = \"90s\"  // " + BASE + ":"), run.out());
        assertTrue(run.out().contains(".accelerators = 0  // default\n"), run.out());
    }

    @Test
    void checkNamesEveryProblemAndEndsWithStatusTwo() throws Exception {
        Path file = Files.createTempFile("base", ".jsonc");
        String text = Files.readString(Path.of(BASE));
        Files.writeString(
                file, text.replace("\"slots\": 8", "\"slots\": 8.5").replace("\"1s\"", "1"));
        CliRun run = CliRun.of("settings", "check", file.toString());
        assertEquals(run.code(), ExitCode.USAGE);
        Files.delete(file);
        assertTrue(
                run.err().contains("services.dispatch.slots: found 8.5; allowed is a whole"),
                run.err());
        assertTrue(run.err().contains("services.warranty.slots: found 8.5"), run.err());
        assertTrue(
                run.err().contains("platform.timeout: found 1; allowed is a duration"), run.err());
        assertEquals(run.out(), "");
    }

    @Test
    void anUnknownCommandListsThoseThatAreKnown() {
        CliRun run = CliRun.of("settings", "chekc");
        assertEquals(run.code(), ExitCode.USAGE);
        assertTrue(run.err().contains("no command \"settings chekc\""), run.err());
        assertTrue(run.out().contains("settings check"), run.out());
    }

    @Test
    void helpAndVersionAreDone() {
        assertEquals(CliRun.of("--help").code(), ExitCode.DONE);
        assertEquals(CliRun.of("--version").code(), ExitCode.DONE);
        CliRun run = CliRun.of("settings", "check", "--help");
        assertEquals(run.code(), ExitCode.DONE);
        assertTrue(run.out().contains("usage: foxtail settings check"), run.out());
    }

    @Test
    void aMissingFileArgumentIsAUsageError() {
        CliRun run = CliRun.of("settings", "check");
        assertEquals(run.code(), ExitCode.USAGE);
        assertTrue(run.err().contains("FILE"), run.err());
    }
}
