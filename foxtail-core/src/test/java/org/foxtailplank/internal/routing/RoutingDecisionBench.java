package org.foxtailplank.internal.routing;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.request.BackendServer;

/**
 * Benchmark of routing decisions with a tenth of the instances at their limit. Run it by its main
 * method.
 */
public final class RoutingDecisionBench {

    private static final ServiceId SERVICE = ServiceId.of("claims");
    private static final int DECISIONS = 2_000_000;
    private static final int ROUNDS = 7;

    private RoutingDecisionBench() {}

    /** Prints the time per decision of each round, for several numbers of instances. */
    public static void main(String[] args) {
        for (int size : new int[] {12, 120, 1_500, 15_000}) {
            Router router = router(size);
            StringBuilder line = new StringBuilder(size + " instances, ns a decision:");
            for (int i = 0; i < ROUNDS; i++) {
                line.append(String.format(Locale.ROOT, " %.0f", nanosPerDecision(router)));
            }
            System.out.println(line);
        }
    }

    private static Router router(int size) {
        Router router = new Router(ZoneId.of("z0"), 1_000_000, new SplittableRandom(5));
        List<BackendServer> servers = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            servers.add(
                    new BackendServer(
                            VmId.of("vm" + i),
                            SERVICE,
                            ZoneId.of("z" + i % 3),
                            new InetSocketAddress("127.0.0.1", 1)));
        }
        router.updateInstances(servers, s -> new ConnectionShare(6, 2));
        router.targets().stream()
                .limit(size / 10)
                .forEach(
                        t -> {
                            for (int i = 0; i < t.limit(); i++) {
                                t.attemptStarted();
                            }
                        });
        return router;
    }

    private static double nanosPerDecision(Router router) {
        Target[] running = new Target[4];
        long start = System.nanoTime();
        for (int i = 0; i < DECISIONS; i++) {
            Target old = running[i & 3];
            if (old != null) {
                old.attemptEnded(AttemptOutcome.SUCCESS, 20_000_000, start);
            }
            Target t = router.choose(SERVICE, Set.of()).orElseThrow();
            t.attemptStarted();
            running[i & 3] = t;
        }
        double nanos = (System.nanoTime() - start) / (double) DECISIONS;
        for (Target t : running) {
            t.attemptEnded(AttemptOutcome.SUCCESS, 20_000_000, start);
        }
        return nanos;
    }
}
