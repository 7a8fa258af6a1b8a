package org.foxtailplank.entry;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.process.PekkoRuntime;
import org.foxtailplank.request.BackendServer;

/**
 * Times what an entry adds: the same open-loop load straight on backend servers and through an
 * entry, in turns, each in a process of its own. A measurement, not a test: run its main by hand;
 * the arguments are requests a second and seconds of a round.
 */
public final class EntryOverheadBench {

    private static final int INSTANCES = 8;
    private static final int CALLERS = 24;
    private static final int ROUNDS = 5;
    private static final int WARM_UP_ROUNDS = 3;

    /** As in the entry's own process. */
    private static final int THREADS = Integer.getInteger("threads", 4);

    private static final long SERVICE_NANOS = 5_000_000;

    private EntryOverheadBench() {}

    /** Runs the measurement, or one of its processes. */
    public static void main(String[] args) throws Exception {
        switch (args[0]) {
            case "backends" -> backends();
            case "entry" -> entry(Arrays.copyOfRange(args, 1, args.length));
            default -> measure(Integer.parseInt(args[0]), Integer.parseInt(args[1]));
        }
    }

    private static void backends() throws IOException {
        RawBackend.Script script =
                (head, body, socket) -> {
                    LockSupport.parkNanos(SERVICE_NANOS);
                    return RawBackend.write(socket, RawBackend.response(200, "", body));
                };
        StringBuilder ports = new StringBuilder();
        for (int i = 0; i < INSTANCES; i++) {
            BackendServer b = RawBackend.running(script).as("vm", "claims", "zone-1");
            ports.append(b.address().getPort()).append(' ');
        }
        System.out.println(ports.toString().strip());
        System.in.read();
    }

    private static void entry(String[] ports) throws IOException {
        BackendServer[] live =
                IntStream.range(0, ports.length)
                        .mapToObj(i -> server(i, Integer.parseInt(ports[i])))
                        .toArray(BackendServer[]::new);
        List<BackendServer> list = List.of(live);
        EntryServer entry =
                EntryServer.start(
                                PekkoRuntime.start("entry", THREADS).system(),
                                EntryParts.of(
                                        TestSettings.NODE, TestSettings.standard(), () -> list))
                        .toCompletableFuture()
                        .join();
        System.out.println(entry.address().getPort());
        System.in.read();
    }

    private static BackendServer server(int i, int port) {
        return new BackendServer(
                VmId.of("vm-" + i),
                ServiceId.of(TestSettings.SERVICE),
                ZoneId.of(TestSettings.NEAR),
                new InetSocketAddress("127.0.0.1", port));
    }

    private static void measure(int rate, int seconds) throws Exception {
        Process backends = start("backends");
        String[] ports = line(backends).split(" ");
        List<String> role = new ArrayList<>(List.of("entry"));
        role.addAll(List.of(ports));
        Process entry = start(role.toArray(String[]::new));
        String[] entryPort = {line(entry)};
        try {
            for (int i = 0; i < WARM_UP_ROUNDS; i++) {
                round(entryPort, 4 * rate, seconds);
            }
            for (int i = 0; i < ROUNDS; i++) {
                print("direct", round(ports, rate, seconds));
                print("entry ", round(entryPort, rate, seconds));
            }
        } finally {
            entry.destroy();
            backends.destroy();
        }
    }

    private static Process start(String... role) throws IOException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                "java",
                                "-Xmx256m",
                                "-XX:+UseSerialGC",
                                "-Dthreads=" + THREADS,
                                "-cp",
                                System.getProperty("java.class.path"),
                                EntryOverheadBench.class.getName()));
        command.addAll(List.of(role));
        return new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD).start();
    }

    private static String line(Process p) throws IOException {
        return new BufferedReader(new InputStreamReader(p.getInputStream())).readLine();
    }

    private static Histogram round(String[] ports, int rate, int seconds) throws Exception {
        List<Histogram> parts = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        long begin = System.nanoTime() + 200_000_000L;
        for (int c = 0; c < CALLERS; c++) {
            Histogram h = new Histogram(3);
            parts.add(h);
            URI target = URI.create("http://127.0.0.1:" + ports[c % ports.length] + "/");
            SplittableRandom random = new SplittableRandom(c);
            double gap = 1e9 * CALLERS / rate;
            Thread t = new Thread(() -> call(target, h, random, gap, begin, seconds));
            threads.add(t);
            t.start();
        }
        Histogram all = new Histogram(3);
        for (int c = 0; c < CALLERS; c++) {
            threads.get(c).join();
            all.add(parts.get(c));
        }
        return all;
    }

    private static void call(
            URI target, Histogram h, SplittableRandom random, double gap, long begin, int secs) {
        try (RawCaller caller = new RawCaller(target)) {
            long end = begin + secs * 1_000_000_000L;
            double due = begin + random.nextDouble() * gap;
            while (due < end) {
                LockSupport.parkNanos((long) due - System.nanoTime());
                caller.send(RawCaller.request("Content-Length: 0\r\n", ""));
                if (!caller.head().startsWith("HTTP/1.1 200")) {
                    throw new IllegalStateException("not answered ok");
                }
                h.recordValue(System.nanoTime() - (long) due);
                due += gap * (0.5 + random.nextDouble());
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void print(String way, Histogram h) {
        System.out.printf(
                Locale.ROOT,
                "%s %d requests, ms: p50 %.2f p90 %.2f p99 %.2f%n",
                way,
                h.getTotalCount(),
                h.getValueAtPercentile(50) / 1e6,
                h.getValueAtPercentile(90) / 1e6,
                h.getValueAtPercentile(99) / 1e6);
    }
}
