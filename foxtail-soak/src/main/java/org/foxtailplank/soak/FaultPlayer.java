package org.foxtailplank.soak;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.foxtailplank.adapter.standin.StoreFault;
import org.foxtailplank.adapter.standin.VmLists;
import org.foxtailplank.it.process.RunningProcess;
import org.foxtailplank.it.proxy.Direction;
import org.foxtailplank.it.proxy.FaultProxy;
import org.foxtailplank.soak.Schedule.Fault;

/** Lets a schedule's faults strike and end; they may overlap. */
final class FaultPlayer implements AutoCloseable {
    /** A link of 1.4 Mbit/s, in bytes a second. */
    private static final double NARROW_BYTES_PER_S = 175_000;

    private static final Duration DELAY = Duration.ofMillis(150);

    /** Each way, so that a read lasts longer than the order of two requests may differ. */
    private static final Duration FAR_DELAY = Duration.ofMillis(200);

    private static final long WORKER_DRAIN_MS = 4000;
    private static final int LATE_ORDERS = 3;
    private static final long LATE_ORDERS_MS = 3000;
    private static final String OWNERS_TOPIC = "foxtail-owners";
    private static final int REPLACED_WORKERS = 8;
    private static final long REPLACED_DOWN_MS = 100;
    private static final int LATER_ORDERS = 10;

    /** Interval at which a takeover is looked for, and for how long after the fault's end. */
    private static final long FOLLOW_INTERVAL_MS = 20;

    private static final long FOLLOW_MS = 3000;

    /** Times from a takeover to the fault of the new owner: before it is loaded, or after. */
    private static final long[] AFTER_TAKEOVER_MS = {0, 50, 200, 600};

    private static final int MAX_REFUSED_MS = 1000;
    private static final int STUTTER_MIN_MS = 50;
    private static final int STUTTER_RANGE_MS = 1200;
    private static final double SHRUNK_SHARE = 0.5;
    private static final int WAVE_VMS = 4;
    private static final long WAVE_S = 20;
    private static final double MS_PER_S = 1000;

    private final SoakSystem mSystem;
    private final SoakCallers mCallers;
    private final Consumer<String> mProgress;
    private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(4);
    private final List<Strike> mActive = new ArrayList<>();
    private final Map<SoakNode, Integer> mDown = new HashMap<>();
    private final AtomicInteger mForeignEntries = new AtomicInteger();
    private volatile boolean mOver;
    private long mWaves;

    /** A fault that has struck, with the nodes that it struck. */
    private record Strike(Fault fault, List<SoakNode> nodes) {
        boolean is(FaultKind... kinds) {
            return List.of(kinds).contains(fault.kind());
        }
    }

    /** An action on a node that may fail with it. */
    private interface NodeAction {
        void run(RunningProcess process) throws IOException, InterruptedException;
    }

    FaultPlayer(SoakSystem system, SoakCallers callers, Consumer<String> progress) {
        mSystem = system;
        mCallers = callers;
        mProgress = progress;
    }

    /** Begins to play; returns at once. */
    void play(List<Fault> faults) {
        for (Fault f : faults) {
            mTimer.schedule(() -> guarded(() -> strike(f)), (long) (f.atS() * MS_PER_S), unit());
        }
    }

    private static TimeUnit unit() {
        return TimeUnit.MILLISECONDS;
    }

    private interface Step {
        void run() throws IOException, InterruptedException;
    }

    /** A step that fails is told of: a fault that didn't strike proves nothing. */
    private void guarded(Step step) {
        try {
            step.run();
        } catch (IOException | RuntimeException | AssertionError e) {
            mProgress.accept("a fault could not be played: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void strike(Fault fault) throws IOException, InterruptedException {
        Strike strike = new Strike(fault, nodesOf(fault));
        mProgress.accept(fault + " " + strike.nodes().stream().map(SoakNode::name).toList());
        synchronized (this) {
            mActive.add(strike);
            applyLinks();
            if (goesDown(strike)) {
                strike.nodes().forEach(n -> mDown.merge(n, 1, Integer::sum));
            }
        }
        begin(strike);
        if (isActive(strike)) {
            mTimer.schedule(
                    () -> guarded(() -> end(strike)), (long) (fault.forS() * MS_PER_S), unit());
        } else if (goesDown(strike)) {
            startIfUp(strike.nodes());
        }
    }

    private synchronized boolean isActive(Strike strike) {
        return mActive.contains(strike);
    }

    /** Starts nodes that were still shutting down when the faults of the run ended. */
    private void startIfUp(List<SoakNode> nodes) throws IOException {
        for (SoakNode n : nodes) {
            if (isUp(n)) {
                n.start();
            }
        }
    }

    private synchronized boolean isUp(SoakNode node) {
        return mDown.getOrDefault(node, 0) == 0;
    }

    private List<SoakNode> nodesOf(Fault fault) throws IOException {
        List<SoakNode> nodes = mSystem.nodes();
        return switch (fault.kind()) {
            case OWNER_KILL,
                    OWNER_PAUSE,
                    OWNER_CUT,
                    OWNER_TERM,
                    OWNERS_KILL,
                    OWNERS_PAUSE,
                    OWNER_STUTTER,
                    OWNER_APPENDS_REFUSED,
                    SUCCESSOR_APPENDS_REFUSED ->
                    mSystem.owner().map(List::of).orElse(List.of());
            case NODES_KILL -> nodes;
            case ZONE_CUT -> inZone(mSystem.zone(fault.target()));
            default ->
                    fault.kind().target() == FaultKind.Target.NODE
                            ? List.of(nodes.get(fault.target()))
                            : List.of();
        };
    }

    private List<SoakNode> inZone(String zone) {
        return mSystem.nodes().stream().filter(n -> n.zone().equals(zone)).toList();
    }

    private static boolean goesDown(Strike strike) {
        return strike.is(
                FaultKind.NODE_KILL,
                FaultKind.NODE_TERM,
                FaultKind.NODE_ELSEWHERE,
                FaultKind.OWNER_KILL,
                FaultKind.OWNERS_KILL,
                FaultKind.OWNER_TERM,
                FaultKind.NODES_KILL);
    }

    private void begin(Strike strike) throws IOException, InterruptedException {
        Fault f = strike.fault();
        switch (f.kind()) {
            case NODE_KILL, OWNER_KILL, NODES_KILL, NODE_ELSEWHERE ->
                    each(strike, RunningProcess::kill);
            case OWNERS_KILL -> {
                each(strike, RunningProcess::kill);
                strikeSuccessor(strike, FaultKind.OWNER_KILL);
            }
            case OWNERS_PAUSE -> {
                each(strike, RunningProcess::pause);
                strikeSuccessor(strike, FaultKind.OWNER_PAUSE);
            }
            case SUCCESSOR_APPENDS_REFUSED -> refuseSuccessor(strike);
            case OWNER_STUTTER -> stutter(strike, true, new Random(Double.hashCode(f.atS())));
            case WORKERS_REPLACED -> replaceWorkers(f);
            case ORDERS_LATER ->
                    mSystem.platform()
                            .delayStartOrders(
                                    f.target(), LATER_ORDERS, (long) (f.forS() * MS_PER_S));
            case NODE_TERM, OWNER_TERM -> each(strike, RunningProcess::stop);
            case NODE_PAUSE, OWNER_PAUSE -> each(strike, RunningProcess::pause);
            case NODE_RELOAD -> strike.nodes().get(0).reload();
            case NODE_RESET -> strike.nodes().get(0).store().reset();
            case HISTORY_DROPPED -> mSystem.platform().dropHistory();
            case VMS_SILENT -> mSystem.platform().setVmServiceUnresponsive(true);
            case WORKER_CRASH ->
                    mSystem.platform().crashWorker(f.target(), (long) (f.forS() * MS_PER_S));
            case WORKER_RESTART ->
                    mSystem.platform().restartWorker(f.target(), (long) (f.forS() * MS_PER_S));
            case WORKER_OTHER_KIND ->
                    mSystem.platform()
                            .restartWorkerAsOtherKind(
                                    f.target(), REPLACED_DOWN_MS, (long) (f.forS() * MS_PER_S));
            case WORKER_DRAIN -> mSystem.platform().drainWorker(f.target(), WORKER_DRAIN_MS);
            case WORKERS_CUT, ZONE_CUT ->
                    mSystem.platform().setWorkersUnreachable(mSystem.zone(f.target()), true);
            case WORKER_SHRINK ->
                    mSystem.platform()
                            .shrinkWorker(f.target(), SHRUNK_SHARE, (long) (f.forS() * MS_PER_S));
            case LATE_ORDERS ->
                    mSystem.platform().delayStartOrders(f.target(), LATE_ORDERS, LATE_ORDERS_MS);
            case WAVE -> wave(f.target());
            case KEY_REPLACED -> mSystem.organisations().replaceKey(f.target());
            case CAP_CUT -> mSystem.organisations().setCapCut(f.target(), true);
            case FLOOD -> mCallers.flood(f.target());
            case CONNECTIONS_SILENT -> {
                strike.nodes().get(0).store().silence();
                strike.nodes().get(0).vms().silence();
            }
            case ROUTE_CHANGED -> mSystem.routes().change();
            case FOREIGN_ENTRY -> writeForeignEntry(f.target());
            default -> {}
        }
    }

    /** Strikes the node that takes over next, right after it has done so. */
    private void strikeSuccessor(Strike strike, FaultKind kind) throws IOException {
        long sinceMs = mSystem.lastTakeoverMs();
        long forMs = (long) (strike.fault().forS() * MS_PER_S);
        long afterMs = AFTER_TAKEOVER_MS[(int) (forMs % AFTER_TAKEOVER_MS.length)];
        awaitTakeover(
                sinceMs,
                (forMs + FOLLOW_MS) / FOLLOW_INTERVAL_MS,
                () -> {
                    Fault successor =
                            new Fault(strike.fault().atS(), kind, 0, strike.fault().forS());
                    mTimer.schedule(() -> guarded(() -> strike(successor)), afterMs, unit());
                });
    }

    /** Pauses the owner until another node has taken over whose appends are refused then. */
    private void refuseSuccessor(Strike strike) throws IOException, InterruptedException {
        Fault fault = strike.fault();
        int refusedMs = new Random(Double.hashCode(fault.atS())).nextInt(MAX_REFUSED_MS);
        mSystem.platform().refuseAfterAppend(Optional.of(OWNERS_TOPIC), refusedMs);
        long sinceMs = mSystem.lastTakeoverMs();
        each(strike, RunningProcess::pause);
        awaitTakeover(
                sinceMs,
                (long) (fault.forS() * MS_PER_S) / FOLLOW_INTERVAL_MS,
                () -> guarded(() -> end(strike)));
    }

    private void awaitTakeover(long sinceMs, long triesLeft, Runnable then) throws IOException {
        if (mSystem.lastTakeoverMs() > sinceMs) {
            then.run();
        } else if (triesLeft > 0 && !mOver) {
            mTimer.schedule(
                    () -> guarded(() -> awaitTakeover(sinceMs, triesLeft - 1, then)),
                    FOLLOW_INTERVAL_MS,
                    unit());
        }
    }

    /** Pauses and resumes nodes in turn until the fault ends. */
    private void stutter(Strike strike, boolean pauses, Random random)
            throws IOException, InterruptedException {
        synchronized (this) {
            if (!mActive.contains(strike)) {
                return;
            }
            each(strike, pauses ? RunningProcess::pause : RunningProcess::resume);
        }
        mTimer.schedule(
                () -> guarded(() -> stutter(strike, !pauses, random)),
                STUTTER_MIN_MS + random.nextInt(STUTTER_RANGE_MS),
                unit());
    }

    /** One worker after the other crashes, and another one joins on its VM at once. */
    private void replaceWorkers(Fault fault) {
        for (int i = 0; i < REPLACED_WORKERS; i++) {
            int worker = worker(fault.target() + i);
            mTimer.schedule(
                    () -> mSystem.platform().crashWorker(worker, REPLACED_DOWN_MS),
                    (long) (i * fault.forS() * MS_PER_S / REPLACED_WORKERS),
                    unit());
        }
    }

    /** Another writer leaves an odd entry under a key of its own, and under a worker's. */
    private void writeForeignEntry(int worker) {
        String value = ForeignEntry.of(mForeignEntries.getAndIncrement()).value();
        mSystem.platform().putForeignEntry("foreign-" + worker, value);
        mSystem.platform().overwriteWorkerEntry(worker, value);
    }

    private void wave(int first) {
        List<Integer> vms =
                IntStream.range(first, first + WAVE_VMS).map(this::worker).boxed().toList();
        mSystem.platform().startWave(++mWaves, vms, 2, WAVE_S);
    }

    private int worker(int number) {
        return number % mSystem.workers();
    }

    private void each(Strike strike, NodeAction action) throws IOException, InterruptedException {
        for (SoakNode n : strike.nodes()) {
            Optional<RunningProcess> process = n.process();
            if (process.isPresent() && n.isRunning()) {
                action.run(process.get());
            }
        }
    }

    private void end(Strike strike) throws IOException, InterruptedException {
        synchronized (this) {
            if (!mActive.remove(strike)) {
                return;
            }
            applyLinks();
        }
        Fault f = strike.fault();
        switch (f.kind()) {
            case NODE_PAUSE, OWNER_PAUSE, OWNERS_PAUSE, OWNER_STUTTER, SUCCESSOR_APPENDS_REFUSED ->
                    each(strike, RunningProcess::resume);
            case NODE_ELSEWHERE -> strike.nodes().get(0).moveElsewhere();
            case VMS_SILENT -> mSystem.platform().setVmServiceUnresponsive(false);
            case CAP_CUT -> mSystem.organisations().setCapCut(f.target(), false);
            case FLOOD -> mCallers.flood(SoakCallers.NO_FLOOD);
            case WORKERS_CUT, ZONE_CUT ->
                    mSystem.platform().setWorkersUnreachable(mSystem.zone(f.target()), false);
            default -> {}
        }
        if (goesDown(strike)) {
            up(strike.nodes());
        }
    }

    /** Nodes that nothing keeps down any more start again. */
    private void up(List<SoakNode> nodes) throws IOException {
        for (SoakNode n : nodes) {
            boolean up;
            synchronized (this) {
                up = mDown.merge(n, -1, Integer::sum) == 0;
            }
            if (up) {
                n.start();
            }
        }
    }

    /** Brings store and links to what all faults that last now make of them. */
    private void applyLinks() {
        StoreFault store = StoreFault.NONE;
        Optional<String> away = Optional.empty();
        for (SoakNode n : mSystem.nodes()) {
            n.store().heal();
            n.vms().heal();
        }
        for (Strike s : mActive) {
            store = storeFault(s.fault().kind()).orElse(store);
            if (s.is(FaultKind.PARTITION_AWAY)) {
                away = Optional.of("keyed.foxtail-journal/" + s.fault().target());
            }
            for (SoakNode n : s.nodes()) {
                applyLink(s, n.store());
                applyLink(s, n.vms());
            }
        }
        for (SoakNode n : mSystem.nodes()) {
            boolean refused =
                    mActive.stream()
                            .filter(s -> s.is(FaultKind.OWNER_APPENDS_REFUSED))
                            .anyMatch(s -> s.nodes().contains(n));
            mSystem.platform().setAppendsRefused(n.name(), refused);
        }
        boolean late = mActive.stream().anyMatch(s -> s.is(FaultKind.OWNERS_READ_LATE));
        mSystem.platform().setLateTopic(late ? Optional.of(OWNERS_TOPIC) : Optional.empty());
        boolean behind = mActive.stream().anyMatch(s -> s.is(FaultKind.VM_LISTS_BEHIND));
        mSystem.platform().setVmLists(behind ? VmLists.BEHIND : VmLists.CURRENT);
        if (mActive.stream().noneMatch(s -> s.is(FaultKind.SUCCESSOR_APPENDS_REFUSED))) {
            mSystem.platform().refuseAfterAppend(Optional.empty(), 0);
        }
        mSystem.platform().setStoreFault(store);
        mSystem.platform().setUnavailablePartition(away);
    }

    private static Optional<StoreFault> storeFault(FaultKind kind) {
        return switch (kind) {
            case STORE_SILENT -> Optional.of(StoreFault.UNRESPONSIVE);
            case STORE_BUSY -> Optional.of(StoreFault.UNAVAILABLE);
            case STORE_SLOW -> Optional.of(StoreFault.SLOW);
            case STORE_ANSWERS_LOST -> Optional.of(StoreFault.ANSWERS_DROPPED);
            default -> Optional.empty();
        };
    }

    private static void applyLink(Strike strike, FaultProxy link) {
        switch (strike.fault().kind()) {
            case NODE_CUT, OWNER_CUT, ZONE_CUT -> link.cut();
            case NODE_CUT_ONE_WAY -> link.cut(Direction.TO_CLIENT);
            case NODE_DELAY -> link.delay(DELAY);
            case NODE_FAR -> link.delay(FAR_DELAY);
            case NODE_NARROW -> link.rate(NARROW_BYTES_PER_S);
            default -> {}
        }
    }

    /** Ends all faults that last, and starts all nodes that are down. */
    void endAll() throws IOException {
        mOver = true;
        List<Strike> active;
        synchronized (this) {
            active = List.copyOf(mActive);
        }
        active.forEach(s -> guarded(() -> end(s)));
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
    }
}
