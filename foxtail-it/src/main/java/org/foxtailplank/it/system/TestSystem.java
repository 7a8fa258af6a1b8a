package org.foxtailplank.it.system;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.foxtailplank.entry.Main;
import org.foxtailplank.it.history.History;
import org.foxtailplank.it.history.HistoryEvent;
import org.foxtailplank.it.process.Await;
import org.foxtailplank.it.process.RunningProcess;
import org.foxtailplank.it.proxy.FaultProxy;
import org.foxtailplank.process.HttpAnswer;
import org.foxtailplank.process.JsonHttpClient;
import org.foxtailplank.process.PekkoRuntime;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.settings.SettingsReader;
import org.foxtailplank.settings.SettingsResult;
import org.foxtailplank.standin.PlatformOptions;
import org.foxtailplank.standin.PlatformStandin;

/**
 * Three availability zones with a real process in each, both roles in it; proxies stand between
 * each process and the platform, and between the zones. The platform and the backend servers are
 * stand-ins in this process.
 */
public final class TestSystem implements AutoCloseable {

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);

    private final PekkoRuntime mRuntime = PekkoRuntime.start("it", 4);
    private final SmallSite mSite = new SmallSite();
    private final Map<String, RunningProcess> mNodes = new TreeMap<>();
    private final Map<String, FaultProxy> mPlatformProxies = new TreeMap<>();
    private final Map<String, Map<String, FaultProxy>> mPeerProxies = new TreeMap<>();
    private final History mHistory = new History();
    private final Path mDirectory;
    private final PlatformStandin mPlatform;
    private final JsonHttpClient mClient;

    private TestSystem() throws IOException {
        mDirectory = Files.createTempDirectory("foxtail-it");
        SettingsResult read = SettingsReader.base("base", mSite.base()).read();
        if (read instanceof SettingsResult.Invalid invalid) {
            throw new IllegalStateException(invalid.text());
        }
        Settings settings = ((SettingsResult.Valid) read).settings();
        mPlatform = PlatformStandin.start(settings, PlatformOptions.quick(), mRuntime.system());
        mClient =
                JsonHttpClient.withTimeout(mRuntime, CALL_TIMEOUT)
                        .withHeader("Authorization", "Bearer it-token");
    }

    /** Starts everything and waits until each node serves and a configuration is in force. */
    public static TestSystem start() throws Exception {
        TestSystem system = new TestSystem();
        try {
            system.startNodes();
            system.publish(0, "first");
            return system;
        } catch (Exception | AssertionError e) {
            system.close();
            throw e;
        }
    }

    /** The zones. */
    public List<String> zones() {
        return SmallSite.ZONES;
    }

    /** The platform's stand-in. */
    public PlatformStandin platform() {
        return mPlatform;
    }

    /** The proxy between a zone and the platform. */
    public FaultProxy toPlatform(String zone) {
        return mPlatformProxies.get(zone);
    }

    /** Where a zone's node takes callers' requests. */
    public InetSocketAddress callers(String zone) {
        return mSite.callers(zone);
    }

    /** The process of a zone. */
    public RunningProcess node(String zone) {
        return mNodes.get(zone);
    }

    /** What callers saw, and what backend servers ran. */
    public History history() {
        return mHistory;
    }

    PekkoRuntime runtime() {
        return mRuntime;
    }

    /** Cuts a zone off from the platform and from the other zones' nodes. */
    public void cutOff(String zone) {
        toPlatform(zone).cut();
        peerProxies(zone).forEach(FaultProxy::cut);
    }

    /** Ends the faults of a zone's proxies. */
    public void heal(String zone) {
        toPlatform(zone).heal();
        peerProxies(zone).forEach(FaultProxy::heal);
    }

    /** Starts a process in a zone, in place of the one before. */
    public void startNode(String zone) throws IOException {
        Path base = write(zone + "-base.jsonc", baseOf(zone));
        Path overlay = write(zone + ".jsonc", overlay(zone));
        List<String> arguments =
                List.of(
                        "--settings",
                        base.toString(),
                        "--overlay",
                        overlay.toString(),
                        "--node",
                        SmallSite.node(zone),
                        "--new-deployment");
        Path output = mDirectory.resolve(zone + ".log");
        mNodes.put(zone, RunningProcess.start(output, Main.class, arguments));
    }

    /** Waits until a zone's node says that it serves. */
    public void awaitServing(String zone) {
        Await.until(zone + " serves", () -> isServing(zone));
    }

    private boolean isServing(String zone) throws Exception {
        if (!node(zone).isAlive()) {
            throw new AssertionError(zone + " ended: " + node(zone).output());
        }
        return health(zone).path("state").asText().equals("serving");
    }

    /** A node's health answer. */
    public JsonNode health(String zone) throws Exception {
        return get(zone, "/health");
    }

    /** Reads from a zone's administration API. */
    public JsonNode get(String zone, String path) throws Exception {
        return tree(JsonHttpClient.await(mClient.get(admin(zone, path))));
    }

    /** Changes something through a zone's administration API. */
    public JsonNode post(String zone, String path, Object body) throws Exception {
        return tree(JsonHttpClient.await(mClient.post(admin(zone, path), body)));
    }

    /** Switches a fault of the platform on. */
    public void platformFault(Object fault) throws Exception {
        JsonHttpClient.await(mClient.post(mPlatform.address().resolve("/faults"), fault));
    }

    /** Publishes the configuration again and returns its version; does not wait. */
    public long publishOnly(long version, String why) throws Exception {
        Map<String, String> overlays = new LinkedHashMap<>();
        zones().forEach(z -> overlays.put(z, overlay(z)));
        Object body = new Publication(version, mSite.base(), overlays, "it", why);
        HttpAnswer answer =
                JsonHttpClient.await(mClient.put(admin(zones().get(1), "/v1/config"), body));
        tree(answer);
        return get(zones().get(1), "/v1/config").path("version").asLong();
    }

    /** Publishes, and waits until it is in force at each node. */
    public long publish(long version, String why) throws Exception {
        long published = publishOnly(version, why);
        for (String zone : zones()) {
            awaitVersion(zone, published);
        }
        return published;
    }

    /** Waits until a configuration, or a newer one, is in force at a node. */
    public void awaitVersion(String zone, long version) {
        Await.until(
                "configuration " + version + " in force in " + zone,
                () -> configuration(zone) >= version);
    }

    /** Version of the configuration in force at a node. */
    public long configuration(String zone) throws Exception {
        return health(zone).path("details").path("configurationVersion").asLong();
    }

    /** Adds what the backend servers ran to the history. */
    public void recordExecutions() {
        mPlatform
                .executions()
                .forEach(
                        (vm, runs) ->
                                runs.forEach(
                                        r ->
                                                mHistory.add(
                                                        new HistoryEvent.Executed(
                                                                lastOf(r.path()),
                                                                vm.value(),
                                                                r.checksum()))));
    }

    /** What the processes printed, for whoever looks for the cause of a failure. */
    public String outputs() {
        StringBuilder all = new StringBuilder();
        mNodes.forEach((z, p) -> all.append("--- ").append(z).append('\n').append(p.output()));
        return all.toString();
    }

    @Override
    public void close() {
        mNodes.values().forEach(RunningProcess::close);
        mPlatformProxies.values().forEach(FaultProxy::close);
        mPeerProxies.values().forEach(m -> m.values().forEach(FaultProxy::close));
        mPlatform.close();
        mRuntime.close();
    }

    private void startNodes() throws IOException {
        URI platform = mPlatform.address();
        InetSocketAddress address = new InetSocketAddress(platform.getHost(), platform.getPort());
        for (String zone : zones()) {
            mPlatformProxies.put(zone, FaultProxy.before(address));
            Map<String, FaultProxy> peers = new TreeMap<>();
            zones().stream()
                    .filter(z -> !z.equals(zone))
                    .forEach(z -> peers.put(z, FaultProxy.before(mSite.peers(z))));
            mPeerProxies.put(zone, peers);
        }
        for (String zone : zones()) {
            startNode(zone);
        }
        zones().forEach(this::awaitServing);
    }

    /** The proxies on the ways from and to a zone's node. */
    private List<FaultProxy> peerProxies(String zone) {
        List<FaultProxy> proxies = new ArrayList<>(mPeerProxies.get(zone).values());
        mPeerProxies.forEach(
                (z, m) ->
                        m.entrySet().stream()
                                .filter(e -> e.getKey().equals(zone))
                                .forEach(e -> proxies.add(e.getValue())));
        return proxies;
    }

    private String overlay(String zone) {
        return SmallSite.overlay(zone, toPlatform(zone).address());
    }

    private String baseOf(String zone) {
        Map<String, InetSocketAddress> peers = new TreeMap<>();
        mPeerProxies.get(zone).forEach((z, p) -> peers.put(z, p.address()));
        return mSite.base(peers);
    }

    private Path write(String name, String text) throws IOException {
        return Files.writeString(mDirectory.resolve(name), text);
    }

    private URI admin(String zone, String path) {
        return URI.create("http://" + SmallSite.text(mSite.admin(zone)) + path);
    }

    private static JsonNode tree(HttpAnswer answer) throws Exception {
        if (!answer.isOk()) {
            throw new IOException(answer.from() + ": " + answer.status() + " " + answer.body());
        }
        return answer.tree();
    }

    private static String lastOf(String path) {
        return path.substring(path.lastIndexOf('/') + 1);
    }

    private record Publication(
            long version, String base, Map<String, String> overlays, String who, String why) {}
}
