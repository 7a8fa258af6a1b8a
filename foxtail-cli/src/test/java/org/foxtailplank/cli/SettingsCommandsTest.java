package org.foxtailplank.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.foxtailplank.process.ExitCode;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks and shows settings files from the command line. */
public final class SettingsCommandsTest {
    private static final String BASE = "../examples/laurentides/base.jsonc";
    private static final String OVERLAY = "../examples/laurentides/quebec-4.jsonc";

    private ByteArrayOutputStream mOut;
    private ByteArrayOutputStream mErr;

    @BeforeMethod
    void clearStreams() {
        mOut = new ByteArrayOutputStream();
        mErr = new ByteArrayOutputStream();
    }

    @Test
    void checkSumsUpSettingsThatHold() {
        assertEquals(run("settings", "check", BASE, "--overlay", OVERLAY), ExitCode.DONE);
        assertTrue(out().contains("laurentides with 4 zones, 10 racks, 40 VMs, 5 services"), out());
    }

    @Test
    void showNamesTheFileOfEachValue() {
        assertEquals(run("settings", "show", BASE, "--overlay", OVERLAY), ExitCode.DONE);
        assertTrue(out().contains("fleet.drainTimeout = \"45s\"  // " + OVERLAY + ":4\n"), out());
        assertTrue(out().contains("fleet.rebootTime = \"90s\"  // " + BASE + ":"), out());
        assertTrue(out().contains(".accelerators = 0  // default\n"), out());
    }

    @Test
    void checkNamesEveryProblemAndEndsWithStatusTwo() throws Exception {
        Path file = Files.createTempFile("base", ".jsonc");
        String text = Files.readString(Path.of(BASE));
        Files.writeString(
                file, text.replace("\"slots\": 8", "\"slots\": 8.5").replace("\"1s\"", "1"));
        assertEquals(run("settings", "check", file.toString()), ExitCode.USAGE);
        Files.delete(file);
        assertTrue(err().contains("services.dispatch.slots: found 8.5; allowed is a whole"), err());
        assertTrue(err().contains("services.warranty.slots: found 8.5"), err());
        assertTrue(err().contains("platform.timeout: found 1; allowed is a duration"), err());
        assertEquals(out(), "");
    }

    @Test
    void anUnknownCommandListsThoseThatAreKnown() {
        assertEquals(run("settings", "chekc"), ExitCode.USAGE);
        assertTrue(err().contains("no command \"settings chekc\""), err());
        assertTrue(out().contains("settings check"), out());
    }

    @Test
    void helpAndVersionAreDone() {
        assertEquals(run("--help"), ExitCode.DONE);
        assertEquals(run("--version"), ExitCode.DONE);
        assertEquals(run("settings", "check", "--help"), ExitCode.DONE);
        assertTrue(out().contains("usage: foxtail settings check"), out());
    }

    @Test
    void aMissingFileArgumentIsAUsageError() {
        assertEquals(run("settings", "check"), ExitCode.USAGE);
        assertTrue(err().contains("FILE"), err());
    }

    private ExitCode run(String... args) {
        return Cli.on(new PrintStream(mOut), new PrintStream(mErr), Map.of()).run(args);
    }

    private String out() {
        return mOut.toString(StandardCharsets.UTF_8);
    }

    private String err() {
        return mErr.toString(StandardCharsets.UTF_8);
    }
}
