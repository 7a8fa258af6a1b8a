package org.foxtailplank.node.warmup;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.foxtailplank.adapter.UsersPlatform.PlatformAddresses;
import org.foxtailplank.admission.AdmissionSettings;
import org.foxtailplank.http.HttpCall;
import org.foxtailplank.http.HttpClient;
import org.foxtailplank.http.HttpReply;
import org.foxtailplank.http.HttpServer;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.LinkRate;
import org.foxtailplank.node.Node;
import org.foxtailplank.node.NodeMain;
import org.foxtailplank.node.NodeSettings;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.organisation.KeyLifetime;
import org.foxtailplank.schedule.ScheduleLimits;

/**
 * Training run for class data sharing: starts a node against a stub platform, submits a job, and
 * exits. The build runs it with the JVM option that archives the loaded classes at exit, which
 * shortens the startup of a node.
 */
public final class WarmUpMain {
    private static final int MAX_BODY_BYTES = 1 << 16;
    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int MAX_CONNECTIONS = 2;
    private static final long CALL_TIMEOUT_MS = 1000;
    private static final long RUN_MS = 1500;
    private static final int OK = 200;
    private static final String CONFIG =
            "{\"items\":[{\"key\":\"config\",\"value\":\"eyJ2ZXJzaW9uIjoxLCJyb3V0ZXMiOltdfQ==\","
                    + "\"offset\":0}],\"more\":false,\"end\":1}";
    private static final String JOB =
            "{\"spec\":\"a\",\"phases\":[{\"count\":1,\"cpu\":1,\"memMb\":1,\"estimateMs\":1}]}";

    private WarmUpMain() {}

    public static void main(String[] args) throws IOException, InterruptedException {
        NodeMain.configureNetty();
        Clock clock = Clock.system();
        NodeLog log = NodeLog.to(System.err, clock);
        EventLoop loop =
                (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        Timers timers = (delay, action) -> loop.schedule(action, delay, TimeUnit.MILLISECONDS);
        InetSocketAddress ephemeral = new InetSocketAddress("127.0.0.1", 0);
        HttpServer platform =
                HttpServer.bind(
                        loop,
                        ephemeral,
                        MAX_BODY_BYTES,
                        (request, reply) -> reply.accept(HttpReply.json(OK, CONFIG)));
        String address = "127.0.0.1:" + platform.address().getPort();
        NodeSettings settings =
                new NodeSettings(
                        "warm-up",
                        "warm-up",
                        ephemeral,
                        ephemeral,
                        ephemeral,
                        ephemeral,
                        new PlatformAddresses(address, address, address),
                        new NodeSettings.JournalLimits(RUN_MS, RUN_MS, 1),
                        new ScheduleLimits(RUN_MS, RUN_MS, RUN_MS),
                        true,
                        LinkRate.UNKNOWN,
                        RUN_MS,
                        KeyLifetime.UNLIMITED,
                        false,
                        AdmissionSettings.OFF,
                        NodeSettings.CallerLimits.DEFAULTS);
        Node node = new Node(settings, loop, clock, timers, log);
        node.listen();
        loop.execute(node::start);
        submitJob(loop, node.callers());
        System.exit(0);
    }

    private static void submitJob(EventLoop loop, InetSocketAddress node)
            throws InterruptedException {
        CountDownLatch answered = new CountDownLatch(1);
        HttpCall call =
                HttpCall.postJson(
                        "/warm-up/0000000000000000", JOB.getBytes(StandardCharsets.UTF_8));
        loop.schedule(
                () ->
                        new HttpClient(loop, CONNECT_TIMEOUT_MS, MAX_CONNECTIONS)
                                .call(node, call, CALL_TIMEOUT_MS, r -> answered.countDown()),
                RUN_MS / 2,
                TimeUnit.MILLISECONDS);
        answered.await(2 * RUN_MS, TimeUnit.MILLISECONDS);
    }
}
