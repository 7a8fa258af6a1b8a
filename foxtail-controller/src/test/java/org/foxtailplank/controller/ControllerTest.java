package org.foxtailplank.controller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.platform.FleetFollower;
import org.foxtailplank.platform.FollowOptions;
import org.foxtailplank.platform.HttpPlatform;
import org.foxtailplank.process.HttpAnswer;
import org.foxtailplank.process.Json;
import org.foxtailplank.process.PekkoRuntime;
import org.foxtailplank.settings.FleetShapes;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.standin.PlatformOptions;
import org.foxtailplank.standin.PlatformStandin;
import org.foxtailplank.standin.SmallDeployment;
import org.foxtailplank.state.ChangeAuthor;
import org.foxtailplank.state.ConfigurationPublished;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.LogRecord;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.TaskOutcome;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.WavePhase;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Runs a controller over HTTP against the platform stand-in. */
public class ControllerTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final Predicate<FleetView> TARGETS_MET =
            view ->
                    view.pools().stream()
                            .allMatch(p -> serving(view, p.id()) >= p.target() + p.reserve());

    private static final Optional<TaskOutcome> SUCCEEDED = Optional.of(TaskOutcome.SUCCEEDED);

    private PekkoRuntime mRuntime;
    private PlatformStandin mPlatform;
    private FleetFollower mLog;
    private Controller mController;
    private TestAdminClient mOperator;
    private TestAdminClient mAnonymous;

    @BeforeClass
    public void start() throws Exception {
        mRuntime = PekkoRuntime.start("controller-test", 2);
        URI nowhere = URI.create("http://127.0.0.1:1");
        mPlatform =
                PlatformStandin.start(
                        SmallDeployment.settings(2, nowhere),
                        PlatformOptions.quick(),
                        mRuntime.system());
        Settings settings = SmallDeployment.settings(2, mPlatform.address());
        HttpPlatform platform = HttpPlatform.at(mPlatform.address(), TIMEOUT, mRuntime.system());
        NodeId node = NodeId.of("node1");
        FollowOptions options =
                FollowOptions.of("node1", TIMEOUT.multipliedBy(5), Duration.ofDays(7));
        mLog = FleetFollower.start(platform.log(), options);
        publish(settings);
        mController =
                Controller.start(mRuntime, ControllerContext.of(node, settings, mLog, platform));
        mAnonymous = TestAdminClient.serving(mRuntime, mController.route());
        mOperator = mAnonymous.withToken("survey-token");
        awaitState(TARGETS_MET);
    }

    @AfterClass
    public void stop() {
        mController.stop();
        mLog.close();
        mPlatform.close();
        mRuntime.close();
    }

    @Test
    public void refusesACallWithoutAToken() throws Exception {
        HttpAnswer answer = mAnonymous.get("/v1/pools");
        assertEquals(answer.status(), 401);
        assertEquals(TestAdminClient.errorCode(answer), "no-token");
        assertTrue(answer.tree().path("error").path("todo").asText().contains("Bearer"));
    }

    @Test
    public void listsPagesOfVms() throws Exception {
        JsonNode first = mOperator.getOk("/v1/vms?zone=z1&limit=3");
        assertEquals(first.path("items").size(), 3);
        JsonNode rest =
                mOperator.getOk("/v1/vms?zone=z1&limit=3&after=" + first.path("next").asText());
        assertEquals(rest.path("items").size(), 1);
        assertTrue(rest.path("next").isNull());
    }

    @Test
    public void givesOneOfTwoRacingOperatorsTheConflictAndTheObjectAsItIs() throws Exception {
        long version = mOperator.getOk("/v1/pools/claims").path("version").asLong();
        ObjectNode change = Json.object().put("version", version).put("target", 2);
        change.put("reserve", 2).put("why", "first");
        assertEquals(mOperator.put("/v1/pools/claims/target", change).status(), 200);
        change.put("reserve", 1).put("why", "second");
        HttpAnswer second = mOperator.put("/v1/pools/claims/target", change);
        assertEquals(second.status(), 409);
        assertEquals(TestAdminClient.errorCode(second), "stale-version");
        assertEquals(second.tree().path("current").path("reserve").asInt(), 2);
    }

    @Test
    public void namesTheFieldThatIsMissing() throws Exception {
        HttpAnswer answer =
                mOperator.put("/v1/pools/claims/target", Json.object().put("target", 1));
        assertEquals(answer.status(), 400);
        String why = answer.tree().path("error").path("why").asText();
        assertEquals(why, "The field 'version' is missing.");
    }

    @Test(dependsOnMethods = "givesOneOfTwoRacingOperatorsTheConflictAndTheObjectAsItIs")
    public void carriesOutAWaveAndCutsOffNothing() throws Exception {
        ObjectNode wave = Json.object().put("id", "march").put("why", "firmware");
        wave.putArray("zones").add("z1");
        HttpAnswer started = mOperator.post("/v1/waves", wave);
        assertEquals(started.status(), 200, started.body());
        WaveId id = WaveId.of("march");
        awaitState(v -> v.wave(id).filter(w -> w.phase() == WavePhase.FINISHED).isPresent());
        long maintained = mOperator.getOk("/v1/waves/march").path("maintained").asLong();
        assertEquals(maintained, 4);
        assertEquals(mPlatform.cutOff(), 0);
    }

    @Test
    public void saysWhatAWaveWouldDoAndWhatLimitsIt() throws Exception {
        ObjectNode body = Json.object();
        body.putArray("zones").add("z1").add("z2");
        HttpAnswer answer = mOperator.post("/v1/waves/plan", body);
        assertEquals(answer.status(), 200, answer.body());
        JsonNode plan = answer.tree();
        assertEquals(plan.path("vms").asInt(), 8);
        assertTrue(plan.path("steps").path(0).path("limits").size() > 0, answer.body());
    }

    @Test
    public void explainsWhyAVmIsWhereItIs() throws Exception {
        JsonNode vm = mOperator.getOk("/v1/explain/vm/z1-r1-vm2");
        assertEquals(vm.path("subject").asText(), "vm z1-r1-vm2");
        assertTrue(vm.path("reasons").size() > 0);
        assertTrue(mOperator.getOk("/v1/explain/pool/claims").path("reasons").size() > 0);
        assertEquals(mOperator.get("/v1/explain/vm/nobody").status(), 404);
    }

    @Test
    public void saysAtOnceThatAJobCanNeverRun() throws Exception {
        ObjectNode job = Json.object().put("id", "huge").put("pool", "claims").put("why", "test");
        job.put("processors", 1000).put("memoryBytes", 1);
        HttpAnswer answer = mOperator.post("/v1/jobs", job);
        assertEquals(answer.status(), 200, answer.body());
        JsonNode reasons = mOperator.getOk("/v1/explain/job/huge").path("reasons");
        assertEquals(reasons.path(0).path("kind").asText(), "NEVER", reasons.toString());
    }

    @Test
    public void runsAJobToItsEnd() throws Exception {
        ObjectNode job = Json.object().put("id", "batch").put("pool", "claims").put("why", "test");
        job.put("processors", 1).put("memoryBytes", 1 << 20).put("tasks", 4);
        assertEquals(mOperator.post("/v1/jobs", job).status(), 200);
        awaitState(
                view ->
                        view.job(JobId.of("batch")).orElseThrow().tasks().values().stream()
                                        .filter(t -> t.outcome().equals(SUCCEEDED))
                                        .count()
                                == 4);
    }

    @Test(dependsOnMethods = "carriesOutAWaveAndCutsOffNothing")
    public void movesAVmToAnotherPool() throws Exception {
        VmId vm = VmId.of("z1-r1-vm1");
        long version = mOperator.getOk("/v1/vms/" + vm).path("version").asLong();
        ObjectNode move = Json.object().put("version", version).put("to", "quotes");
        HttpAnswer answer =
                mOperator.post("/v1/vms/" + vm + "/move", move.put("why", "busy phones"));
        assertEquals(answer.status(), 200, answer.body());
        awaitState(
                v ->
                        v.vm(vm)
                                .filter(s -> s.pool().equals(PoolId.of("quotes")))
                                .filter(s -> s.phase() == VmPhase.SERVING)
                                .isPresent());
        assertEquals(mPlatform.cutOff(), 0);
    }

    private static long serving(FleetView view, PoolId pool) {
        return view.vmsOf(pool).stream().filter(v -> v.phase() == VmPhase.SERVING).count();
    }

    private void publish(Settings settings) throws Exception {
        LogRecord record =
                new LogRecord(
                        RecordId.of("first"),
                        NodeId.of("test"),
                        Optional.empty(),
                        Map.of(ObjectKey.configuration(), 0L),
                        new ConfigurationPublished(
                                "{}",
                                Map.of(),
                                FleetShapes.of(settings),
                                new ChangeAuthor("test", "first")));
        assertTrue(mLog.submit(record).toCompletableFuture().get(10, TimeUnit.SECONDS).isApplied());
    }

    private void awaitState(Predicate<FleetView> condition) throws Exception {
        CompletableFuture<Void> satisfied = new CompletableFuture<>();
        Runnable check =
                () ->
                        mLog.read(condition::test)
                                .thenAccept(
                                        result -> {
                                            if (result) {
                                                satisfied.complete(null);
                                            }
                                        });
        mLog.onChange(check);
        check.run();
        satisfied.get(60, TimeUnit.SECONDS);
    }
}
