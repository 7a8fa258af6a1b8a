package org.foxtailplank.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.Map;
import org.foxtailplank.process.ExitCode;
import org.foxtailplank.process.Json;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Lists and changes pools, VMs, jobs and waves through the administration API. */
public final class FleetCommandsTest {
    private static final String POOL =
            "{\"id\":\"valuation\",\"service\":\"valuation\",\"target\":8,\"reserve\":1,"
                    + "\"version\":12,\"vms\":9,\"serving\":8,\"on\":9}";
    private static final String APPLIED =
            "{\"verdict\":\"applied\",\"record\":\"r\",\"version\":13}";

    private FakeApi mApi;

    @BeforeMethod
    void start() throws Exception {
        mApi = new FakeApi();
    }

    @AfterMethod(alwaysRun = true)
    void stop() {
        mApi.close();
    }

    @Test
    void aListIsAlignedAndSaysWhereItGoesOn() throws Exception {
        mApi.answers("GET /v1/pools", 200, "{\"items\":[" + POOL + "],\"next\":\"valuation\"}");
        CliRun run = run("pool", "list");
        assertEquals(run.code(), ExitCode.DONE, run.err());
        assertEquals(
                run.out(),
                "POOL       SERVICE    TARGET  RESERVE  VMS  ON  SERVING  VERSION\n"
                        + "valuation  valuation  8       1        9    9   8        12\n");
        assertTrue(run.err().contains("--after valuation"), run.err());
        assertEquals(mApi.asked().get(0).token(), "Bearer secret");
    }

    @Test
    void aChangeCarriesTheVersionAndTheReason() throws Exception {
        mApi.answers("GET /v1/pools/valuation", 200, POOL);
        mApi.answers("PUT /v1/pools/valuation/target", 200, APPLIED);
        CliRun run = run("pool", "target", "valuation", "--target", "7", "--why", "quiet");
        assertEquals(run.code(), ExitCode.DONE, run.err());
        assertEquals(run.out(), "valuation is at version 13\n");
        JsonNode body = Json.parse(mApi.asked().get(1).body());
        assertEquals(body.path("version").asLong(), 12);
        assertEquals(body.path("target").asInt(), 7);
        assertEquals(body.path("why").asText(), "quiet");
    }

    /** Another operator was first: the command ends with 1 and shows what the pool is now. */
    @Test
    void aChangeThatComesSecondShowsWhatIsThereNow() throws Exception {
        mApi.answers(
                "PUT /v1/pools/valuation/target",
                409,
                "{\"error\":{\"status\":409,\"code\":\"stale-version\",\"what\":\"It is void.\","
                        + "\"why\":\"It changed.\",\"todo\":\"Decide again.\"},\"current\":"
                        + POOL
                        + "}");
        CliRun run =
                run("pool", "target", "valuation", "--target", "7", "--why", "w", "--from", "3");
        assertEquals(run.code(), ExitCode.FAILED);
        assertTrue(run.err().contains("It is void.\n  It changed.\n  Decide again."), run.err());
        assertTrue(run.err().contains("\"version\":12"), run.err());
        assertEquals(mApi.asked().size(), 1);
    }

    @Test
    void aJobsMemoryGoesOverInBytes() throws Exception {
        mApi.answers("POST /v1/jobs", 200, APPLIED);
        CliRun run =
                run(
                        "job",
                        "submit",
                        "photos",
                        "--pool",
                        "photo",
                        "--processors",
                        "2",
                        "--memory",
                        "1.5GiB",
                        "--why",
                        "new photos");
        assertEquals(run.code(), ExitCode.DONE, run.err());
        JsonNode body = Json.parse(mApi.asked().get(0).body());
        assertEquals(body.path("memoryBytes").asLong(), 3L << 29);
        CliRun wrong =
                run(
                        "job",
                        "submit",
                        "photos",
                        "--pool",
                        "photo",
                        "--processors",
                        "2",
                        "--memory",
                        "8",
                        "--why",
                        "w");
        assertEquals(wrong.code(), ExitCode.USAGE);
        assertTrue(wrong.err().contains("a size with a unit"), wrong.err());
    }

    @Test
    void aQuotaIsChangedFromTheTeamsVersion() throws Exception {
        mApi.answers(
                "GET /v1/teams",
                200,
                "{\"items\":[{\"id\":\"claims\",\"quota\":0.4,\"role\":\"operator\","
                        + "\"version\":8}]}");
        mApi.answers("PUT /v1/teams/claims/quota", 200, APPLIED);
        CliRun run = run("team", "quota", "claims", "--quota", "0.5", "--why", "rush");
        assertEquals(run.code(), ExitCode.DONE, run.err());
        JsonNode body = Json.parse(mApi.asked().get(1).body());
        assertEquals(body.path("version").asLong(), 8);
        assertEquals(body.path("quota").asDouble(), 0.5);
        run = run("team", "quota", "clams", "--quota", "0.5", "--why", "rush");
        assertEquals(run.code(), ExitCode.FAILED);
        assertTrue(run.err().contains("there is no team \"clams\""), run.err());
    }

    @Test
    void aWatchedWaveShowsEachStepOnce() throws Exception {
        mApi.answers("POST /v1/waves", 200, APPLIED);
        mApi.answers("GET /v1/waves/w1", 200, wave("RUNNING", 0));
        mApi.answers("GET /v1/waves/w1", 200, wave("RUNNING", 0));
        mApi.answers("GET /v1/waves/w1", 200, wave("RUNNING", 2));
        mApi.answers("GET /v1/waves/w1", 200, wave("FINISHED", 4));
        CliRun run = run("wave", "start", "w1", "--zone", "sofia-1", "--why", "kernel", "--watch");
        assertEquals(run.code(), ExitCode.DONE, run.err());
        assertEquals(
                run.err(),
                "wave w1 running: 0 of 4 VMs maintained, 1 under way\n"
                        + "wave w1 running: 2 of 4 VMs maintained, 1 under way\n");
        assertTrue(run.out().endsWith("wave w1 finished: 4 of 4 VMs maintained, 1 under way\n"));
    }

    @Test
    void aWatchedWaveThatIsCancelledHasFailed() throws Exception {
        mApi.answers("GET /v1/waves/w1", 200, wave("CANCELLED", 2));
        assertEquals(run("wave", "status", "w1", "--watch").code(), ExitCode.FAILED);
    }

    @Test
    void aPlanShowsTheWidthOfEachStepAndWhatLimitsIt() throws Exception {
        mApi.answers(
                "POST /v1/waves/plan",
                200,
                "{\"vms\":3,\"steps\":[{\"width\":2,\"vms\":[\"a\",\"b\"],\"racks\":[\"r1\"],"
                        + "\"limits\":[\"budget of photo\"]}],\"blocked\":[\"c has no spare\"]}");
        CliRun run = run("wave", "plan", "--zone", "sofia-1");
        assertEquals(run.code(), ExitCode.FAILED, "a VM would never be stopped");
        assertEquals(
                run.out(),
                "3 VMs in 1 steps\nWIDTH  RACKS  VMS  LIMITED BY\n"
                        + "2      r1     a,b  budget of photo\nblocked: c has no spare\n");
    }

    @Test
    void explainGivesTheReasons() throws Exception {
        mApi.answers(
                "GET /v1/explain/vm/sofia-1-r1-1",
                200,
                "{\"subject\":\"vm sofia-1-r1-1\",\"reasons\":[{\"text\":\"it drains\","
                        + "\"waitsFor\":\"3 requests\"}]}");
        CliRun run = run("explain", "vm", "sofia-1-r1-1");
        assertEquals(run.code(), ExitCode.DONE, run.err());
        assertEquals(run.out(), "vm sofia-1-r1-1\n  it drains; waits for 3 requests\n");
    }

    @Test
    void aRefusalIsPassedOnInTheNodesWords() throws Exception {
        mApi.answers(
                "GET /v1/vms",
                401,
                "{\"error\":{\"code\":\"no-token\",\"what\":\"The call was refused.\","
                        + "\"why\":\"No token.\",\"todo\":\"Send one.\"},\"current\":null}");
        CliRun run = run("vm", "list");
        assertEquals(run.code(), ExitCode.FAILED);
        assertTrue(run.err().contains("The call was refused.\n  No token.\n  Send one."));
    }

    /** The first node is down; it did nothing for certain, so the next one is asked. */
    @Test
    void theNextNodeIsAskedWhereOneIsNotThere() throws Exception {
        mApi.answers("GET /v1/pools", 200, "{\"items\":[" + POOL + "],\"next\":null}");
        String nodes = unusedAddress() + "," + mApi.address();
        CliRun run =
                CliRun.of(
                        Map.of("FOXTAIL_ADMIN", nodes, "FOXTAIL_TOKEN", "secret"), "pool", "list");
        assertEquals(run.code(), ExitCode.DONE, run.err());
        assertFalse(run.err().contains("--after"), run.err());
    }

    @Test
    void noNodeThatAnswersIsAFailure() throws Exception {
        Map<String, String> nobody =
                Map.of("FOXTAIL_ADMIN", unusedAddress(), "FOXTAIL_TOKEN", "secret");
        CliRun run = CliRun.of(nobody, "pool", "list");
        assertEquals(run.code(), ExitCode.FAILED);
        assertTrue(run.err().contains("no node answers, so nothing was changed"), run.err());
    }

    @Test
    void aMissingTokenOrAddressIsAUsageError() {
        CliRun run = CliRun.of(Map.of("FOXTAIL_ADMIN", "127.0.0.1:1"), "pool", "list");
        assertEquals(run.code(), ExitCode.USAGE);
        assertTrue(run.err().contains("FOXTAIL_TOKEN"), run.err());
        run = CliRun.of(Map.of("FOXTAIL_TOKEN", "t"), "pool", "list");
        assertEquals(run.code(), ExitCode.USAGE);
        assertTrue(run.err().contains("--admin ADDRESS"), run.err());
        run = CliRun.of(Map.of("FOXTAIL_TOKEN", "t"), "pool", "list", "--admin", "here");
        assertEquals(run.code(), ExitCode.USAGE);
        assertTrue(run.err().contains("\"here\" is no address"), run.err());
    }

    private static String unusedAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    private static String wave(String phase, int maintained) {
        return "{\"id\":\"w1\",\"zones\":[\"sofia-1\"],\"pools\":[],\"finished\":[],\"phase\":\""
                + phase
                + "\",\"who\":\"rada\",\"why\":\"kernel\",\"started\":4,\"version\":5,\"vms\":4,"
                + "\"maintained\":"
                + maintained
                + ",\"underWay\":1}";
    }

    private CliRun run(String... args) {
        return CliRun.of(Map.of("FOXTAIL_ADMIN", mApi.address(), "FOXTAIL_TOKEN", "secret"), args);
    }
}
