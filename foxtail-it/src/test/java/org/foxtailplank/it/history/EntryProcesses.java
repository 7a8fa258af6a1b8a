package org.foxtailplank.it.history;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.pekko.actor.ActorSystem;
import org.foxtailplank.it.process.FreePorts;
import org.foxtailplank.it.process.ProcessReport;
import org.foxtailplank.process.SettingsFiles;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.standin.PlatformOptions;
import org.foxtailplank.standin.PlatformStandin;

/** The binary foxtail-entry as processes of their own, which a test kills, pauses and replaces. */
final class EntryProcesses implements AutoCloseable {

    private static final String NODE =
            "\"e%d\":{\"zone\":\"z\",\"callers\":\"%s:%d\",\"peers\":\"%s:%d\","
                    + "\"admin\":\"127.0.0.1:0\"}";

    /** An address of this program's own; see {@link FreePorts}. */
    private static final String IP = "127." + (ProcessHandle.current().pid() % 250 + 1) + ".0.1";

    private static final String SETTINGS =
            """
            {"deployment": "small",
             "fleet": {"rolloutWeight": 0.5, "wakeTime": "1s", "drainTimeout": "5s",
               "rebootTime": "1s", "moveCooldown": "10s"},
             "zones": {"z": {"oneWayDelay": "500us", "callerDelay": "1ms"}},
             "vmTypes": {"standard": {"processors": 8, "memory": "16GiB"}},
             "racks": {"z-r[1-2]": {"zone": "z", "vms": 2, "type": "standard"}},
             "services": {"claims": {"instances": 4, "minAvailable": 1, "slots": 8,
               "connections": 64, "objective": 0.999, "deadline": "2s",
               "requestClass": "interactive", "repeatable": false}},
             "pools": {"claims": {"service": "claims", "vms": ["z-r[1-2]-[1-2]"], "target": 3,
               "reserve": 1}},
             "teams": {"survey": {"quota": 0.5, "role": "operator", "token": "survey-token"}},
             "nodes": {%s},
             "platform": {"address": "%s", "timeout": "500ms", "appendsPerSecond": 400,
               "retention": "1h"},
             "peers": {"key": "a key that tests share", "heartbeat": "100ms", "silence": "500ms"},
             "limits": {"maxHeader": "8KiB", "maxBody": "1MiB", "connectionsPerCaller": 256,
               "retryRatio": 0.1, "idempotencyWindow": "10m"}}
            """;

    private final ActorSystem mSystem = ActorSystem.create("platform");
    private final Path mDirectory = Files.createTempDirectory(Path.of("target"), "entries");
    private final PlatformStandin mPlatform;
    private final Path mSettings = mDirectory.resolve("settings.jsonc");
    private final List<Integer> mPorts = new ArrayList<>();
    private final List<Process> mProcesses = new ArrayList<>();

    EntryProcesses(int entries) throws Exception {
        List<Integer> ports = FreePorts.on(IP, 2 * entries + 1);
        int platformPort = ports.get(2 * entries);
        String nodes =
                IntStream.range(0, entries)
                        .mapToObj(
                                i ->
                                        NODE.formatted(
                                                i, IP, ports.get(i), IP, ports.get(entries + i)))
                        .collect(Collectors.joining(","));
        String address = "http://" + IP + ":" + platformPort;
        Files.writeString(mSettings, SETTINGS.formatted(nodes, address));
        Settings settings = SettingsFiles.load(mSettings, Optional.empty());
        mPlatform =
                PlatformStandin.start(
                        settings,
                        PlatformOptions.quick().at(new InetSocketAddress(IP, platformPort)),
                        mSystem);
        mPorts.addAll(ports.subList(0, entries));
        for (int i = 0; i < entries; i++) {
            mProcesses.add(start(i));
        }
    }

    PlatformStandin platform() {
        return mPlatform;
    }

    URI entry(int entry) {
        return URI.create("http://" + IP + ":" + mPorts.get(entry));
    }

    /** Kills an entry with SIGKILL and starts its replacement, of the same name and addresses. */
    void replace(int entry) throws IOException, InterruptedException {
        kill(entry);
        mProcesses.set(entry, start(entry));
    }

    void kill(int entry) throws InterruptedException {
        mProcesses.get(entry).destroyForcibly().waitFor();
    }

    void pause(int entry) throws IOException, InterruptedException {
        signal("-STOP", entry);
    }

    void goOn(int entry) throws IOException, InterruptedException {
        signal("-CONT", entry);
    }

    @Override
    public void close() throws IOException {
        mProcesses.forEach(Process::destroyForcibly);
        mPlatform.close();
        mSystem.terminate();
    }

    private void signal(String signal, int entry) throws IOException, InterruptedException {
        String pid = Long.toString(mProcesses.get(entry).pid());
        new ProcessBuilder("kill", signal, pid).inheritIO().start().waitFor();
    }

    private Process start(int entry) throws IOException {
        String classPath =
                System.getProperty(
                        "surefire.test.class.path", System.getProperty("java.class.path"));
        Path output = mDirectory.resolve("e" + entry + ".log");
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx96m",
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-cp",
                                classPath,
                                "org.foxtailplank.entry.Main",
                                "--settings",
                                mSettings.toString(),
                                "--node",
                                "e" + entry,
                                "--new-deployment")
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
                        .start();
        ProcessReport.started(process, output);
        return process;
    }
}
