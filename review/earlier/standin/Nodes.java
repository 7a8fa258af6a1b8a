package review.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Nodes of the system as separate processes, started with the command of the deploy file. */
public final class Nodes implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"([^\"]*)\"");

    private static final int MIN_PORT = 15_000;
    private static final int MAX_PORT = 30_000;

    private final Random mRandom = new Random();
    private final Set<Integer> mPorts = new HashSet<>();
    private final Platform mPlatform;
    private final Recorder mRecorder;
    private final Path mFolder;
    private final List<String> mCommand;
    private final List<Node> mNodes = new CopyOnWriteArrayList<>();
    private final HttpClient mHttp =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(1))
                    .build();

    /** One node. */
    public static final class Node {
        final String mName;
        final Path mSettings;
        final int mFront;
        final int mReady;
        volatile Process mProcess;
        volatile long mStartedNs;

        Node(String name, Path settings, int front, int ready) {
            mName = name;
            mSettings = settings;
            mFront = front;
            mReady = ready;
        }

        public String name() {
            return mName;
        }

        /** Returns the port for consumers. */
        public int front() {
            return mFront;
        }

        /** Returns the time since the last start, in milliseconds. */
        public long ageMs() {
            return (System.nanoTime() - mStartedNs) / 1_000_000;
        }

        public boolean isAlive() {
            return mProcess.isAlive();
        }
    }

    public Nodes(Platform platform, Recorder recorder) throws IOException {
        mPlatform = platform;
        mRecorder = recorder;
        mFolder = Files.createTempDirectory("review");
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no command in deploy/system.toml");
        }
        mCommand = List.of(run.group(1).split(" "));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    public List<Node> all() {
        return mNodes;
    }

    /**
     * Returns a free port below those that the system gives to connections and stand-ins, which
     * could take it before the node listens.
     */
    private int freePort() {
        while (true) {
            int port = mRandom.nextInt(MIN_PORT, MAX_PORT);
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                if (mPorts.add(port)) {
                    return port;
                }
            } catch (IOException e) {
                // It is in use.
            }
        }
    }

    /** Adds a node and starts it. */
    public void add(String name, String zone) throws IOException {
        int[] ports = {freePort(), freePort(), freePort(), freePort()};
        String settings =
                """
                {
                  "node": {"name": "%s", "zone": "%s", "linkMbps": 1000.0, "graceS": 6},
                  "listen": {"callers": "127.0.0.1:%d", "readiness": "127.0.0.1:%d",
                      "metrics": "127.0.0.1:%d", "peers": "127.0.0.1:%d"},
                  "platform": {"store": "%s", "vms": "%s", "advice": "", "keepS": 300, "parts": 8,
                      "agreements": [["base", "drain", "config", "cost", "recover", "sched",
                          "platform", "advice", "upkeep", "sharing"]],
                      "vmTokensChecked": true},
                  "worker": {"orders": "call", "leaseMs": 6000, "stopMs": 200},
                  "callers": {},
                  "jobs": {"statusS": 120, "earlyMs": 250}
                }
                """
                        .formatted(
                                name,
                                zone,
                                ports[0],
                                ports[1],
                                ports[2],
                                ports[3],
                                mPlatform.openStore(name),
                                mPlatform.openCloud());
        Path file = mFolder.resolve(name + ".json");
        Files.writeString(file, settings);
        Node node = new Node(name, file, ports[0], ports[1]);
        mNodes.add(node);
        start(node);
    }

    /** Starts a node's process. */
    public void start(Node node) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(mCommand);
        builder.environment().put("FOXTAILPLANK_CONFIG", node.mSettings.toString());
        builder.redirectErrorStream(true);
        Path log = mFolder.resolve(node.mName + ".log");
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        node.mStartedNs = System.nanoTime();
        node.mProcess = builder.start();
        mRecorder.line("%s: process %d started", node.mName, node.mProcess.pid());
    }

    /** Waits until all nodes say that they are ready. */
    public void awaitReady(long maxMs) throws IOException, InterruptedException {
        long untilMs = mRecorder.nowMs() + maxMs;
        for (Node n : mNodes) {
            while (!isReady(n)) {
                if (mRecorder.nowMs() > untilMs) {
                    throw new IOException(n.mName + " isn't ready in time");
                }
                Thread.sleep(50);
            }
        }
    }

    /** Returns whether a node says that it is ready. */
    public boolean isReady(Node node) throws InterruptedException {
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(
                                    URI.create("http://127.0.0.1:" + node.mReady + "/v1/ready"))
                            .timeout(Duration.ofSeconds(1))
                            .build();
            HttpResponse<Void> answer =
                    mHttp.send(request, HttpResponse.BodyHandlers.discarding());
            return answer.statusCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Ends all processes. */
    @Override
    public void close() {
        mNodes.forEach(n -> n.mProcess.destroyForcibly());
        mNodes.forEach(n -> n.mProcess.onExit().join());
    }
}
