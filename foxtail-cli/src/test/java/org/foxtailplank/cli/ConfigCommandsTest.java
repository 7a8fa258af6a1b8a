package org.foxtailplank.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.foxtailplank.process.ExitCode;
import org.foxtailplank.state.Configuration;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Publishes and compares configurations against a node and a log on real sockets. */
public final class ConfigCommandsTest {
    private static final Path EXAMPLE = Path.of("../examples/stabilis/base.jsonc");
    private static final String OVERLAY = "../examples/stabilis/sofia-1.jsonc";

    private FakeFleet mFleet;
    private Path mDirectory;
    private Path mBase;

    @BeforeMethod
    void start() throws Exception {
        mFleet = new FakeFleet();
        mDirectory = Files.createTempDirectory("config");
        mBase = mDirectory.resolve("base.jsonc");
        String text = Files.readString(EXAMPLE);
        Files.writeString(mBase, text.replace("127.0.0.1:8600", mFleet.address()));
    }

    @AfterMethod(alwaysRun = true)
    void stop() throws IOException {
        mFleet.close();
        try (var files = Files.list(mDirectory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(mDirectory);
    }

    @Test
    void publishesOnConditionOfTheVersionItWasMadeFrom() throws Exception {
        CliRun first = publish(0, "first", mBase.toString(), OVERLAY);
        assertEquals(first.code(), ExitCode.DONE, first.err());
        assertEquals(first.out(), "version 1 is accepted\n");
        edit("\"rolloutWeight\": 0.1", "\"rolloutWeight\": 0.2");
        CliRun second = publish(1, "faster", mBase.toString(), OVERLAY, "--wait");
        assertEquals(second.code(), ExitCode.DONE, second.err());
        assertTrue(second.err().contains("version 2 is in force at 1 of 1 nodes"), second.err());
        Configuration now = mFleet.inForce().orElseThrow();
        assertEquals(now.base(), Files.readString(mBase));
        assertEquals(now.author().who(), "rada");
    }

    /**
     * Two operators edit version 1 at once: Rada wants another weight, Petko another wake time. The
     * log lets Petko's be first. Rada's command ends with 1 and tells her what Petko changed; her
     * file is as it was, and --rebase puts her change on top of his.
     */
    @Test
    void ofTwoOperatorsOneWinsAndTheOtherLosesNothing() throws Exception {
        publish(0, "first", mBase.toString(), OVERLAY);
        String original = Files.readString(mBase);
        petkoPublishes(original.replace("\"wakeTime\": \"90s\"", "\"wakeTime\": \"60s\""));
        edit("\"rolloutWeight\": 0.1", "\"rolloutWeight\": 0.3");
        String mine = Files.readString(mBase);

        CliRun told = publish(1, "weight", mBase.toString(), OVERLAY);
        assertEquals(told.code(), ExitCode.FAILED);
        assertTrue(told.err().contains("petko has published version 2 (wake)"), told.err());
        assertTrue(told.err().contains("  base: fleet.wakeTime: \"90s\" -> \"60s\"\n"), told.err());
        assertFalse(told.err().contains("rolloutWeight"), told.err());
        assertEquals(Files.readString(mBase), mine);
        assertEquals(mFleet.inForce().orElseThrow().version(), 2);

        CliRun rebased = publish(1, "weight", mBase.toString(), OVERLAY, "--rebase");
        assertEquals(rebased.code(), ExitCode.DONE, rebased.err());
        String now = mFleet.inForce().orElseThrow().base();
        assertTrue(now.contains("0.3") && now.contains("\"60s\""), now);
    }

    /** Both operators change the same value: neither may silently win over the other. */
    @Test
    void changesOfTheSameValueAreNotPutOnTopOfEachOther() throws Exception {
        publish(0, "first", mBase.toString());
        petkoPublishes(
                Files.readString(mBase).replace("\"wakeTime\": \"90s\"", "\"wakeTime\": \"60s\""));
        edit("\"wakeTime\": \"90s\"", "\"wakeTime\": \"70s\"");
        CliRun run = publish(1, "mine", mBase.toString(), "--rebase");
        assertEquals(run.code(), ExitCode.FAILED);
        assertTrue(run.err().contains("same values, so nothing was published"), run.err());
        assertTrue(run.err().contains("base: fleet.wakeTime"), run.err());
        assertEquals(mFleet.inForce().orElseThrow().author().who(), "petko");
    }

    /**
     * Petko publishes again between Rada's look at his version and her second try: her command must
     * look again, and not end up on top of a version that it has not seen.
     */
    @Test
    void aSecondRaceDuringTheRebaseIsSeen() throws Exception {
        publish(0, "first", mBase.toString());
        String original = Files.readString(mBase);
        AtomicBoolean again = new AtomicBoolean(true);
        mFleet.beforePublish(
                () -> {
                    if (mFleet.inForce().orElseThrow().version() == 1) {
                        petkoPublishes(original.replace("\"90s\"", "\"60s\""));
                    } else if (again.getAndSet(false)) {
                        petkoPublishes(original.replace("\"90s\"", "\"50s\""));
                    }
                });
        edit("\"rolloutWeight\": 0.1", "\"rolloutWeight\": 0.3");
        CliRun run = publish(1, "weight", mBase.toString(), "--rebase");
        assertEquals(run.code(), ExitCode.DONE, run.err());
        String now = mFleet.inForce().orElseThrow().base();
        assertTrue(now.contains("0.3") && now.contains("\"50s\""), now);
    }

    /**
     * The platform takes the record, and its answer gets lost. Sent again, the change is refused as
     * stale, since it stands in the log already: the operator must not be told that it failed.
     */
    @Test
    void aLostAnswerIsFoundToHaveTakenEffect() throws Exception {
        mFleet.loseNextAnswer();
        CliRun run = publish(0, "first", mBase.toString(), OVERLAY);
        assertEquals(run.code(), ExitCode.DONE, run.err());
        assertEquals(run.out(), "version 1 is accepted\n");
        assertEquals(mFleet.inForce().orElseThrow().version(), 1);
    }

    /** A large configuration goes onto the log as patches; history and merge read them back. */
    @Test
    void patchesOnTheLogAreReadBack() throws Exception {
        String original = Files.readString(mBase) + "//" + "x".repeat(8 << 10) + "\n";
        Files.writeString(mBase, original);
        publish(0, "first", mBase.toString(), OVERLAY);
        edit("\"wakeTime\": \"90s\"", "\"wakeTime\": \"60s\"");
        String second = Files.readString(mBase);
        assertEquals(publish(1, "wake", mBase.toString(), OVERLAY).code(), ExitCode.DONE);
        petkoPublishes(second.replace("\"60s\"", "\"50s\""));
        CliRun history = run("config", "history", "--settings", mBase.toString());
        assertTrue(history.out().contains("\n2 from 1 by rada: wake (patch)\n"), history.out());
        edit("\"rolloutWeight\": 0.1", "\"rolloutWeight\": 0.3");
        CliRun late = publish(2, "late", mBase.toString(), OVERLAY, "--rebase");
        assertEquals(late.code(), ExitCode.DONE, late.err());
        assertTrue(late.err().contains("fleet.wakeTime: \"60s\" -> \"50s\""), late.err());
        CliRun diff = run("config", "diff", mBase.toString(), OVERLAY);
        assertEquals(diff.out().lines().count(), 2, diff.out());
        assertTrue(diff.out().contains("fleet.wakeTime: \"50s\" -> \"60s\""), diff.out());
    }

    /** A node is down: the change is accepted, and the operator is told who doesn't have it. */
    @Test
    void waitNamesTheNodesThatAreBehind() throws Exception {
        String gone;
        try (ServerSocket socket = new ServerSocket(0)) {
            gone = "127.0.0.1:" + socket.getLocalPort();
        }
        mFleet.addNode("sofia-2-e1", gone);
        CliRun run = publish(0, "first", mBase.toString(), "--wait", "--timeout", "200ms");
        assertEquals(run.code(), ExitCode.FAILED);
        assertTrue(run.out().contains("version 1 is accepted"), run.out());
        assertTrue(run.err().contains("sofia-2-e1 (does not answer)"), run.err());
        CliRun status = run("config", "status");
        assertEquals(status.code(), ExitCode.FAILED);
        assertTrue(status.out().contains("sofia-1  sofia-1-e1 (version 1)\n"), status.out());
        assertTrue(status.out().contains("sofia-2-e1 (does not answer)  behind 1"), status.out());
    }

    @Test
    void historyNamesWhoAndWhy() throws Exception {
        publish(0, "first", mBase.toString());
        petkoPublishes(Files.readString(mBase).replace("\"90s\"", "\"60s\""));
        CliRun run = run("config", "history", "--settings", mBase.toString());
        assertEquals(run.code(), ExitCode.DONE, run.err());
        assertEquals(
                run.out(), "2 from 1 by petko: wake (whole)\n1 from 0 by rada: first (whole)\n");
    }

    @Test
    void historySaysThatThePlatformDoesNotAnswer() throws Exception {
        publish(0, "first", mBase.toString());
        try (ServerSocket socket = new ServerSocket(0)) {
            edit(mFleet.address(), "127.0.0.1:" + socket.getLocalPort());
        }
        CliRun run = run("config", "history", "--settings", mBase.toString());
        assertEquals(run.code(), ExitCode.FAILED);
        assertTrue(run.err().contains("does not answer"), run.err());
        assertTrue(run.err().contains("check platform.address"), run.err());
    }

    @Test
    void diffAndShowAreOfTheVersionInForce() throws Exception {
        publish(0, "first", mBase.toString(), OVERLAY);
        edit("\"target\": 8", "\"target\": 7");
        CliRun diff = run("config", "diff", mBase.toString(), OVERLAY);
        assertEquals(
                diff.out(),
                "1 values differ between version 1 and the files:\n"
                        + "base: pools.valuation.target: 8 -> 7\n");
        CliRun show = run("config", "show", "--out", mDirectory.toString());
        assertEquals(show.code(), ExitCode.DONE, show.err());
        assertEquals(
                Files.readString(mDirectory.resolve("sofia-1.jsonc")),
                Files.readString(Path.of(OVERLAY)));
        assertTrue(Files.readString(mBase).contains("\"target\": 8"));
    }

    @Test
    void wrongFilesAreNamedAndNothingIsSent() throws Exception {
        edit("\"minAvailable\": 6", "\"minAvailable\": 9");
        CliRun run = publish(0, "first", mBase.toString());
        assertEquals(run.code(), ExitCode.USAGE);
        assertTrue(run.err().contains("no wave could ever meet"), run.err());
        assertTrue(run.err().contains(mBase + ":"), run.err());
        assertEquals(mFleet.published(), 0);
    }

    private void petkoPublishes(String base) {
        long from = mFleet.inForce().orElseThrow().version();
        Map<String, String> overlays = new HashMap<>();
        mFleet.inForce()
                .orElseThrow()
                .overlays()
                .forEach((zone, text) -> overlays.put(zone.value(), text));
        mFleet.publish(new FakeFleet.Draft(from, base, overlays, "petko", "wake"));
    }

    private void edit(String from, String to) throws IOException {
        String text = Files.readString(mBase);
        assertTrue(text.contains(from), from);
        Files.writeString(mBase, text.replace(from, to));
    }

    private CliRun publish(long from, String why, String... more) {
        List<String> args = new ArrayList<>(List.of("config", "publish"));
        args.addAll(Arrays.asList(more));
        args.addAll(List.of("--from", String.valueOf(from), "--why", why, "--who", "rada"));
        args.addAll(List.of("--settings", mBase.toString()));
        return run(args.toArray(String[]::new));
    }

    private CliRun run(String... args) {
        Map<String, String> environment =
                Map.of("FOXTAIL_ADMIN", mFleet.address(), "FOXTAIL_TOKEN", "t");
        return CliRun.of(environment, args);
    }
}
