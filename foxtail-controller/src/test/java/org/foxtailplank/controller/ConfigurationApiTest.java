package org.foxtailplank.controller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import org.foxtailplank.controller.TestAdminClient.Patch;
import org.foxtailplank.controller.TestAdminClient.Publication;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.platform.FleetFollower;
import org.foxtailplank.platform.FollowOptions;
import org.foxtailplank.platform.HttpPlatform;
import org.foxtailplank.process.HttpAnswer;
import org.foxtailplank.process.PekkoRuntime;
import org.foxtailplank.settings.Role;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.settings.SettingsReader;
import org.foxtailplank.settings.SettingsResult;
import org.foxtailplank.standin.PlatformOptions;
import org.foxtailplank.standin.PlatformStandin;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Publishes configurations of the Stabilis example over the administration API. */
public class ConfigurationApiTest {
    private static final Path EXAMPLE = Path.of("..", "examples", "stabilis");
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private PekkoRuntime mRuntime;
    private PlatformStandin mPlatform;
    private FleetFollower mLog;
    private Controller mController;
    private TestAdminClient mOperator;
    private String mBase;

    @BeforeClass
    public void start() throws Exception {
        mBase = Files.readString(EXAMPLE.resolve("base.jsonc"));
        Settings settings =
                ((SettingsResult.Valid) SettingsReader.base("base", mBase).read()).settings();
        mRuntime = PekkoRuntime.start("configuration-api-test", 2);
        mPlatform = PlatformStandin.start(settings, PlatformOptions.quick(), mRuntime.system());
        HttpPlatform platform = HttpPlatform.at(mPlatform.address(), TIMEOUT, mRuntime.system());
        NodeId node = settings.nodes().keySet().iterator().next();
        mLog = FleetFollower.start(platform.log(), FollowOptions.of(node, settings.platform()));
        mController =
                Controller.start(mRuntime, ControllerContext.of(node, settings, mLog, platform));
        mOperator =
                TestAdminClient.serving(mRuntime, mController.route())
                        .withToken(settings.teams().get(operators(settings)).token());
    }

    @AfterClass
    public void stop() {
        mController.stop();
        mLog.close();
        mPlatform.close();
        mRuntime.close();
    }

    @Test
    public void publishesPatchesAndTellsWhoIsLate() throws Exception {
        HttpAnswer none = mOperator.patch("/v1/config", new Patch(0, "{}", "too early"));
        assertEquals(TestAdminClient.errorCode(none), "no-configuration");

        String overlay = Files.readString(EXAMPLE.resolve("sofia-1.jsonc"));
        Map<String, String> overlays = Map.of("sofia-1", overlay);
        long first =
                applied(mOperator.put("/v1/config", new Publication(0, mBase, overlays, "first")));

        String weight = "{\"fleet\":{\"rolloutWeight\":0.25}}";
        long second = applied(mOperator.patch("/v1/config", new Patch(first, weight, "faster")));
        JsonNode now = mOperator.getOk("/v1/config");
        assertEquals(now.path("version").asLong(), second);
        assertTrue(now.path("base").asText().contains("\"rolloutWeight\" : 0.25"));
        assertEquals(now.path("why").asText(), "faster");

        HttpAnswer late = mOperator.patch("/v1/config", new Patch(first, weight, "late"));
        assertEquals(late.status(), 409);
        assertEquals(TestAdminClient.errorCode(late), "stale-version");
        assertEquals(late.tree().path("current").path("version").asLong(), second);
    }

    @Test(dependsOnMethods = "publishesPatchesAndTellsWhoIsLate")
    public void refusesAConfigurationThatNoNodeCouldRead() throws Exception {
        long version = mOperator.getOk("/v1/config").path("version").asLong();
        String wrong = "{\"fleet\":{\"rolloutWait\":1},\"platform\":{\"appendsPerSecond\":-1}}";
        HttpAnswer answer = mOperator.patch("/v1/config", new Patch(version, wrong, "typo"));
        assertEquals(TestAdminClient.errorCode(answer), "bad-configuration");
        String why = answer.tree().path("error").path("why").asText();
        assertTrue(why.contains("rolloutWait") && why.contains("appendsPerSecond"), why);
        assertEquals(mOperator.getOk("/v1/config").path("version").asLong(), version);
    }

    @Test(dependsOnMethods = "publishesPatchesAndTellsWhoIsLate")
    public void saysWhichVersionThisNodeHas() throws Exception {
        long version = mOperator.getOk("/v1/config").path("version").asLong();
        boolean found = false;
        for (JsonNode node : mOperator.getOk("/v1/nodes").path("items")) {
            found |= node.path("configVersion").asLong() == version;
        }
        assertTrue(found);
    }

    private static TeamId operators(Settings settings) {
        return settings.teams().entrySet().stream()
                .filter(t -> t.getValue().role() == Role.OPERATOR)
                .findFirst()
                .orElseThrow()
                .getKey();
    }

    private static long applied(HttpAnswer answer) throws Exception {
        assertEquals(answer.status(), 200, answer.body());
        return answer.tree().path("version").asLong();
    }
}
