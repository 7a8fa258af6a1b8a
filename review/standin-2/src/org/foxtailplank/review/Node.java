package org.foxtailplank.review;

import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A process of the system, started with the command of the deploy file. */
final class Node implements AutoCloseable {
    private static final int PORTS = 4;
    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 31_000;

    private static int sNextPort =
            ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);

    private final String mName;
    private final Path mFolder;
    private final Path mRepository;
    private final Record mRecord;
    private final int[] mPorts = new int[PORTS];
    private Process mProcess;
    private boolean mClosed;

    Node(
            int number,
            String zone,
            Path repository,
            Path folder,
            Store store,
            Fleet fleet,
            long keepS,
            Record record)
            throws IOException {
        mName = "edge-" + zone + "-" + number;
        mFolder = folder;
        mRepository = repository;
        mRecord = record;
        for (int i = 0; i < PORTS; i++) {
            mPorts[i] = freePort();
        }
        Files.writeString(settingsFile(), settings(zone, store, fleet, keepS));
    }

    /**
     * Returns a free port below those that the system gives to outgoing connections, which could
     * take the port of a process while it is down.
     */
    private static synchronized int freePort() throws IOException {
        while (true) {
            int port = sNextPort;
            sNextPort = port >= LAST_PORT ? FIRST_PORT : port + 1;
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // In use: the next one is tried.
            }
        }
    }

    private Path settingsFile() {
        return mFolder.resolve(mName + ".json");
    }

    /** The settings as the template of the deploy file renders them. */
    private String settings(String zone, Store store, Fleet fleet, long keepS) {
        return String.format(
                "{\"node\":{\"name\":\"%s\",\"zone\":\"%s\",\"linkMbps\":1000.0,\"graceS\":6},"
                        + "\"listen\":{\"callers\":\"%s\",\"readiness\":\"%s\",\"metrics\":\"%s\","
                        + "\"peers\":\"%s\"},"
                        + "\"platform\":{\"store\":\"%s\",\"vms\":\"%s\",\"advice\":\"\","
                        + "\"keepS\":%d,\"parts\":8,\"recordBytes\":262144,"
                        + "\"appendBytes\":2097152,\"agreements\":[[\"base\",\"drain\","
                        + "\"config\",\"cost\",\"recover\",\"sched\",\"platform\",\"advice\","
                        + "\"upkeep\",\"sharing\"]],\"vmTokensChecked\":true},"
                        + "\"worker\":{\"orders\":\"call\",\"leaseMs\":10000,\"stopMs\":400},"
                        + "\"callers\":{},\"jobs\":{\"statusS\":120,\"earlyMs\":250}}",
                mName,
                zone,
                address(0),
                address(1),
                address(2),
                address(3),
                store.address(),
                fleet.address(),
                keepS);
    }

    private String address(int port) {
        return "127.0.0.1:" + mPorts[port];
    }

    String name() {
        return mName;
    }

    int callerPort() {
        return mPorts[0];
    }

    int readyPort() {
        return mPorts[1];
    }

    synchronized void start() throws IOException {
        if (mClosed) {
            return;
        }
        String run = "";
        for (String line : Files.readAllLines(mRepository.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        ProcessBuilder builder = new ProcessBuilder(run.split(" "));
        builder.directory(mRepository.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("FOXTAILPLANK_CONFIG", settingsFile().toString());
        File log = mFolder.resolve(mName + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        mProcess = builder.start();
        mRecord.line("start " + mName);
    }

    synchronized boolean isAlive() {
        return mProcess != null && mProcess.isAlive();
    }

    synchronized long pid() {
        return mProcess.pid();
    }

    synchronized int exitStatus() {
        return mProcess.exitValue();
    }

    /** Sends SIGTERM; SIGKILL follows after the grace period. */
    void term() throws InterruptedException {
        mRecord.line("SIGTERM " + mName);
        Process process = mProcess;
        process.destroy();
        if (!process.waitFor(6, TimeUnit.SECONDS)) {
            process.destroyForcibly().waitFor();
        }
        mRecord.line("ended " + mName);
    }

    void kill() throws InterruptedException {
        mRecord.line("SIGKILL " + mName);
        mProcess.destroyForcibly().waitFor();
    }

    Path log() {
        return mFolder.resolve(mName + ".log");
    }

    @Override
    public synchronized void close() {
        if (mProcess != null) {
            mProcess.destroyForcibly();
        }
        mClosed = true;
    }
}
