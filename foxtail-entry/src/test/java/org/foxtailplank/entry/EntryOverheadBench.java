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
 * Measures the latency added by an entry: applies the same open-loop load to backend servers
 * directly and through an entry, in alternating rounds and separate processes. Not part of the
 * suite; run {@code main} with the requests per second and the seconds per round.
 */
public final class EntryOverheadBench {

    private static final int INSTANCES = 8;
    private static final int CALLERS = 24;
    private static final int ROUNDS = 5;
    private static final int WARM_UP_ROUNDS = 3;

    /** Number of threads of the actor system, as in {@code foxtail-entry}. */
    private static final int THREADS = Integer.getInteger("threads", 4);

    private static final long SERVICE_NANOS = 5_000_000;

    private EntryOverheadBench() {}

    /** Runs the measurement, or one of its child processes. */
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
            BackendServer b = RawBackend.running(script).asServer("vm", "claims", "zone-1");
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
                                EntryContext.of(
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
        List<String> arguments = new ArrayList<>(List.of("entry"));
        arguments.addAll(List.of(ports));
        Process entry = start(arguments.toArray(String[]::new));
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

    private static Process start(String... arguments) throws IOException {
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
        command.addAll(List.of(arguments));
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
            Histogram histogram = new Histogram(3);
            parts.add(histogram);
            URI target = URI.create("http://127.0.0.1:" + ports[c % ports.length] + "/");
            SplittableRandom random = new SplittableRandom(c);
            double gap = 1e9 * CALLERS / rate;
            Thread t = new Thread(() -> call(target, histogram, random, gap, begin, seconds));
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
            URI target,
            Histogram histogram,
            SplittableRandom random,
            double gap,
            long begin,
            int secs) {
        try (RawCaller caller = new RawCaller(target)) {
            long end = begin + secs * 1_000_000_000L;
            double due = begin + random.nextDouble() * gap;
            while (due < end) {
                LockSupport.parkNanos((long) due - System.nanoTime());
                caller.send(RawCaller.request("Content-Length: 0\r\n", ""));
                if (!caller.head().startsWith("HTTP/1.1 200")) {
                    throw new IllegalStateException("unexpected status");
                }
                histogram.recordValue(System.nanoTime() - (long) due);
                due += gap * (0.5 + random.nextDouble());
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void print(String way, Histogram histogram) {
        System.out.printf(
                Locale.ROOT,
                "%s %d requests, ms: p50 %.2f p90 %.2f p99 %.2f%n",
                way,
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(50) / 1e6,
                histogram.getValueAtPercentile(90) / 1e6,
                histogram.getValueAtPercentile(99) / 1e6);
    }
}
