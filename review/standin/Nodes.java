import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** The project's nodes as processes of their own, started with the command of the deploy file. */
final class Nodes implements AutoCloseable {
    static final String HOST = "jobs.example";
    private static final long RESTART_DELAY_MS = 1000;

    /** An end within this time of a start is excused by the rules. */
    private static final long EXCUSED_MS = 1000;

    private static final int PORTS = 4;
    private static final int MIN_PORT = 12_000;
    private static final int MAX_PORT = 32_000;

    static {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    private final List<Node> mNodes = new ArrayList<>();
    private final List<String> mCommand = new ArrayList<>();
    private final Path mFolder;
    private final Recorder mRecorder;
    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(1)).build();
    private volatile boolean mClosed;

    final class Node {
        private final String mName;
        private final int[] mPorts;
        private final Path mSettings;
        private volatile Process mProcess;
        private volatile int mOwnEnds;
        private volatile long mStartedMs;

        Node(String name, int[] ports, Path settings) {
            mName = name;
            mPorts = ports;
            mSettings = settings;
        }

        String name() {
            return mName;
        }

        /** How often the process has ended by itself, later than a second after its start. */
        int ownEnds() {
            return mOwnEnds;
        }

        private void start() throws IOException {
            mStartedMs = mRecorder.nowMs();
            ProcessBuilder b = new ProcessBuilder(mCommand);
            b.environment().put("FOXTAILPLANK_CONFIG", mSettings.toString());
            b.redirectErrorStream(true);
            Path log = mFolder.resolve(mName + ".log");
            b.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            mProcess = b.start();
            mRecorder.line("node " + mName + " started");
            Thread watch = new Thread(this::watch, "watch");
            watch.setDaemon(true);
            watch.start();
        }

        /** Starts the process again a second after it has ended, as the platform does. */
        private void watch() {
            try {
                int status = mProcess.waitFor();
                if (mClosed) {
                    return;
                }
                long ranMs = mRecorder.nowMs() - mStartedMs;
                mOwnEnds += ranMs > EXCUSED_MS ? 1 : 0;
                mRecorder.line("node " + mName + " ended by itself after " + ranMs
                        + " ms, status " + status);
                Thread.sleep(RESTART_DELAY_MS);
                if (!mClosed) {
                    start();
                }
            } catch (InterruptedException | IOException e) {
                mRecorder.line("node " + mName + ": " + e);
            }
        }
    }

    /** A status of 0 stands for no answer. */
    record Answer(int status, String body) {
        @Override
        public String toString() {
            return status == 0 ? "nothing" : status + (body.isEmpty() ? "" : " " + body);
        }
    }

    Nodes(Path folder, Recorder recorder, int count, String store, String vms,
            String advice)
            throws IOException {
        mFolder = folder;
        mRecorder = recorder;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                for (String word : command.split(" +")) {
                    mCommand.add(word);
                }
            }
        }
        for (int n = 0; n < count; n++) {
            String name = "edge-" + n;
            int[] ports = freePorts();
            Path settings = folder.resolve(name + ".json");
            Files.writeString(settings, settings(name, "zone-" + n, ports, store, vms, advice));
            mNodes.add(new Node(name, ports, settings));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        for (Node n : mNodes) {
            n.start();
        }
    }

    /**
     * Returns ports that are free and that the system doesn't give to outgoing connections, so that
     * a node that starts again finds its own ports free.
     */
    private static int[] freePorts() throws IOException {
        int[] ports = new int[PORTS];
        List<ServerSocket> open = new ArrayList<>();
        while (open.size() < PORTS) {
            int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            try {
                open.add(new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1")));
                ports[open.size() - 1] = port;
            } catch (BindException e) {
                // Another process has it.
            }
        }
        for (ServerSocket s : open) {
            s.close();
        }
        return ports;
    }

    /** The template platform/deploy/settings.json with the values of DEPLOY.md's example. */
    private static String settings(
            String name, String zone, int[] p, String store, String vms, String advice) {
        return """
               {"node":{"name":"%s","zone":"%s","linkMbps":1000.0,"graceS":6},
                "listen":{"callers":"127.0.0.1:%d","readiness":"127.0.0.1:%d",
                  "metrics":"127.0.0.1:%d","peers":"127.0.0.1:%d"},
                "platform":{"store":"%s","vms":"%s","advice":"%s","keepS":300,"parts":8,
                  "agreements":[["base","drain","config","cost","recover","sched","platform",
                    "advice","upkeep","sharing"]],"vmTokensChecked":true},
                "worker":{"orders":"call","leaseMs":6000,"stopMs":200},
                "callers":{},
                "jobs":{"statusS":120,"earlyMs":250}}
               """
                .formatted(name, zone, p[0], p[1], p[2], p[3], store, vms, advice);
    }

    List<Node> all() {
        return mNodes;
    }

    /** Sends a caller's request; the status is 0 after no answer. */
    Answer ask(Node node, String method, String path, String body) {
        HttpRequest.BodyPublisher publisher =
                body.isEmpty()
                        ? HttpRequest.BodyPublishers.noBody()
                        : HttpRequest.BodyPublishers.ofString(body);
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.mPorts[0] + path))
                        .timeout(Duration.ofMillis(3000))
                        .header("Host", HOST)
                        .header("Content-Type", "application/json")
                        .header("Deadline-Ms", "3000")
                        .method(method, publisher)
                        .build();
        try {
            HttpResponse<String> r = mClient.send(request, HttpResponse.BodyHandlers.ofString());
            return new Answer(r.statusCode(), r.body());
        } catch (IOException e) {
            return new Answer(0, String.valueOf(e));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        mClosed = true;
        for (Node n : mNodes) {
            if (n.mProcess != null) {
                n.mProcess.destroyForcibly();
            }
        }
    }
}
