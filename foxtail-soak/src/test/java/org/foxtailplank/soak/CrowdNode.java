package org.foxtailplank.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.foxtailplank.adapter.standin.UsersStandin;
import org.foxtailplank.it.process.FreePorts;
import org.foxtailplank.it.process.RunningProcess;
import org.foxtailplank.node.NodeMain;

/** The process of a node with a small heap and lowered limits, on a platform of its own. */
final class CrowdNode implements AutoCloseable {
    static final String HOST = "crowd.example";

    /** Largest heap of the process, in MiB. */
    private static final int HEAP_MB = 32;

    /** Memory beside the heap: that of the smallest machine less a node's heap there, in MiB. */
    private static final int BEYOND_HEAP_MB = 170;

    private static final int CONNECTIONS = 128;

    /** Descriptors beside callers' connections: class path, platform, operators, peers. */
    private static final int OTHER_DESCRIPTORS = 128;

    private static final int PORTS = 4;
    private static final int WORKERS = 3;
    private static final int PROCESSORS = 8000;
    private static final int LEASE_MS = 6000;
    private static final long KB_PER_MB = 1024;
    private static final long ANSWER_MS = 60_000;
    private static final long RETRY_MS = 200;
    private static final List<String> ZONES = List.of("zone-0");
    private static final List<String> POOLS = List.of("quick", "spare");
    private static final String JOB =
            "{\"spec\":\"10 100\",\"phases\":[{\"count\":1,\"cpu\":100,\"memMb\":64,"
                    + "\"estimateMs\":10}]}";

    private final UsersStandin mPlatform;
    private final RunningProcess mProcess;
    private final String mIp;
    private final List<Integer> mPorts;
    private int mJobs;
    private int mMostDescriptors;

    CrowdNode(Path folder) throws IOException {
        Files.createDirectories(folder);
        mIp = SoakSystem.network() + ".1";
        mPorts = FreePorts.on(mIp, PORTS);
        mPlatform =
                new UsersStandin(
                        new UsersStandin.Topology(
                                ZONES, POOLS, WORKERS, PROCESSORS, LEASE_MS, true, Set.of()),
                        new SoakHistory());
        mPlatform.configure(HOST, POOLS);
        Path settings = folder.resolve("node.json");
        Files.writeString(settings, settings());
        Path output = folder.resolve("node.log");
        Files.deleteIfExists(output);
        mProcess =
                RunningProcess.start(output, HEAP_MB, NodeMain.class, List.of(settings.toString()));
    }

    private String settings() throws IOException {
        return String.format(
                "{\"node\":{\"name\":\"node-0\",\"zone\":\"zone-0\",\"linkMbps\":1000,"
                        + "\"graceS\":6},"
                        + "\"listen\":{\"callers\":\"%s\",\"readiness\":\"%s\","
                        + "\"metrics\":\"%s\",\"peers\":\"%s\"},"
                        + "\"platform\":{\"store\":\"%s\",\"vms\":\"%s\",\"advice\":\"\","
                        + "\"keepS\":300,\"parts\":8,\"vmTokensChecked\":true},"
                        + "\"worker\":{\"orders\":\"call\",\"leaseMs\":%d,\"stopMs\":200},"
                        + "\"callers\":{\"keyRevocationMs\":5000,\"connections\":%d,"
                        + "\"bufferBytes\":4194304,\"requestMs\":10000},"
                        + "\"jobs\":{\"statusS\":120,\"earlyMs\":250}}",
                address(callers()),
                address(readiness()),
                address(metrics()),
                address(listener(3)),
                address(mPlatform.openStore("node-0")),
                address(mPlatform.vmServiceAddress()),
                LEASE_MS,
                CONNECTIONS);
    }

    private static String address(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ':' + address.getPort();
    }

    private InetSocketAddress listener(int number) {
        return new InetSocketAddress(mIp, mPorts.get(number));
    }

    InetSocketAddress callers() {
        return listener(0);
    }

    InetSocketAddress readiness() {
        return listener(1);
    }

    InetSocketAddress metrics() {
        return listener(2);
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    String output() {
        return mProcess.output();
    }

    /** Counts its open descriptors, unless it has ended. */
    void countDescriptors() {
        int count = 0;
        try (DirectoryStream<Path> open = Files.newDirectoryStream(proc("fd"))) {
            for (Path ignored : open) {
                count++;
            }
        } catch (IOException e) {
            return;
        }
        mMostDescriptors = Math.max(mMostDescriptors, count);
    }

    private Path proc(String name) {
        return Path.of("/proc", Long.toString(mProcess.pid()), name);
    }

    /** Returns the most descriptors that were counted. */
    int mostDescriptors() {
        return mMostDescriptors;
    }

    static int maxDescriptors() {
        return CONNECTIONS + OTHER_DESCRIPTORS;
    }

    /** Returns the most memory that the process has used, in MiB. */
    long peakMemoryMb() throws IOException {
        for (String line : Files.readAllLines(proc("status"))) {
            if (line.startsWith("VmHWM:")) {
                return Long.parseLong(line.replaceAll("\\D", "")) / KB_PER_MB;
            }
        }
        throw new IOException("no VmHWM in " + proc("status"));
    }

    static long maxMemoryMb() {
        return HEAP_MB + BEYOND_HEAP_MB;
    }

    /** Returns a request that submits a new job, with a body padded to {@code bodyBytes}. */
    synchronized byte[] submission(int bodyBytes) {
        String body = JOB + " ".repeat(Math.max(0, bodyBytes - JOB.length()));
        return String.format(
                        "POST /quick/%016x HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: 20000\r\n"
                                + "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
                        ++mJobs, HOST, body.length(), body)
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Submits a job and returns the status; tries again after refusals and closed connections. */
    int submitUntilAccepted() throws InterruptedException {
        return askUntilAccepted(callers(), submission(0));
    }

    /** Asks until the answer is 2xx; returns the last status, or 0 without any answer. */
    int askUntilAccepted(InetSocketAddress listener, byte[] request) throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ANSWER_MS);
        int status = 0;
        while (status / 100 != 2 && isAlive() && System.nanoTime() < endNs) {
            try {
                status = ask(listener, request, request.length, 0);
            } catch (IOException e) {
                status = 0;
            }
            if (status / 100 != 2) {
                TimeUnit.MILLISECONDS.sleep(RETRY_MS);
            }
        }
        return status;
    }

    /** Sends a request in pieces with a pause after each, and returns the status of the answer. */
    static int ask(InetSocketAddress listener, byte[] request, int pieceBytes, long pauseMs)
            throws IOException, InterruptedException {
        try (Socket socket = new Socket()) {
            socket.connect(listener, (int) ANSWER_MS);
            socket.setSoTimeout((int) ANSWER_MS);
            OutputStream out = socket.getOutputStream();
            for (int sent = 0; sent < request.length; sent += pieceBytes) {
                out.write(request, sent, Math.min(pieceBytes, request.length - sent));
                out.flush();
                TimeUnit.MILLISECONDS.sleep(pauseMs);
            }
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII));
            String line = in.readLine();
            return line == null ? 0 : Integer.parseInt(line.split(" ")[1]);
        }
    }

    @Override
    public void close() {
        mProcess.close();
        mPlatform.close();
    }
}
