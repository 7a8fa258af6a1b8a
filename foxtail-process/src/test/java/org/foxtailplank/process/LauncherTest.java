package org.foxtailplank.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.foxtailplank.id.NodeId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests command line parsing and exit statuses. */
public final class LauncherTest {
    private static final String EXAMPLE = "../examples/stabilis/base.jsonc";

    private ByteArrayOutputStream mOut;
    private ByteArrayOutputStream mErr;

    @BeforeMethod
    void clearStreams() {
        mOut = new ByteArrayOutputStream();
        mErr = new ByteArrayOutputStream();
    }

    @Test
    void helpListsTheOptionsAndTheExitStatuses() {
        assertEquals(run("--help"), ExitCode.DONE);
        String help = mOut.toString(StandardCharsets.UTF_8);
        assertTrue(help.contains("--settings FILE"), help);
        assertTrue(help.contains("0 done, 1 failed, 2 usage"), help);
    }

    @Test
    void versionNamesTheProgram() {
        assertEquals(run("--version"), ExitCode.DONE);
        assertTrue(mOut.toString(StandardCharsets.UTF_8).startsWith("foxtail-test "));
    }

    @Test
    void findsTheNodeInTheSettings() {
        assertEquals(run("--settings", EXAMPLE, "--node", "sofia-1-e1"), ExitCode.DONE);
        assertEquals(mErr.toString(StandardCharsets.UTF_8), "");
    }

    @DataProvider
    Object[][] invalidCommandLines() {
        return new Object[][] {
            {new String[] {"--colour"}, "--help lists the options"},
            {new String[] {"--log-format", "xml"}, "--log-format"},
            {new String[] {}, "give --settings FILE"},
            {new String[] {"--settings", "none.jsonc"}, "it does not exist"},
            {new String[] {"--settings", EXAMPLE}, "give --node ID"},
            {new String[] {"--settings", EXAMPLE, "--node", "varna"}, "no node \"varna\""},
        };
    }

    @Test(dataProvider = "invalidCommandLines")
    void aWrongCommandLineIsExplainedAndEndsWithStatusTwo(String[] args, String message) {
        assertEquals(run(args), ExitCode.USAGE);
        String err = mErr.toString(StandardCharsets.UTF_8);
        assertTrue(err.contains(message), err);
        assertEquals(ExitCode.USAGE.status(), 2);
    }

    @Test
    void allProblemsOfTheSettingsAreNamed() throws Exception {
        Path file = Files.createTempFile("settings", ".jsonc");
        Files.writeString(file, "{\"deploymet\": \"x\", \"zones\": 3}");
        assertEquals(run("--settings", file.toString()), ExitCode.USAGE);
        Files.delete(file);
        String err = mErr.toString(StandardCharsets.UTF_8);
        assertTrue(err.contains(file + ":1: deploymet: found an unknown key"), err);
        assertTrue(err.contains(file + ":1: zones: found 3"), err);
    }

    private ExitCode run(String... args) {
        return Launcher.named("foxtail-test", new PrintStream(mOut), new PrintStream(mErr))
                .run(args, new ProgramOptions(), LauncherTest::program, new StopSignal());
    }

    private static ExitCode program(ProgramOptions options, StopSignal stop)
            throws ProcessException {
        NodeId node = options.node(options.settings());
        assertEquals(node, NodeId.of("sofia-1-e1"));
        return ExitCode.DONE;
    }
}
