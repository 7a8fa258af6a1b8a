package org.foxtailplank.internal.dispatch;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.internal.admission.QueuedRequest;
import org.foxtailplank.internal.routing.AttemptOutcome;
import org.foxtailplank.internal.routing.ConnectionShare;
import org.foxtailplank.internal.routing.Health;
import org.foxtailplank.internal.routing.Router;
import org.foxtailplank.internal.routing.Target;
import org.foxtailplank.request.BackendServer;
import org.foxtailplank.request.RequestClass;

/**
 * Simulates nine entries and eight instances with a fake clock, to compare load balancing
 * strategies under faults. Run it by its main method.
 */
public final class RoutingExperiment {

    private static final long MS = 1_000_000L;
    private static final ServiceId SERVICE = ServiceId.of("claims");
    private static final int ZONES = 3;
    private static final int ENTRIES = 9;
    private static final int INSTANCES = 8;
    private static final int SLOTS = 8;
    private static final long SERVICE_TIME = 20 * MS;
    private static final long DEADLINE = 300 * MS;
    private static final long WARM_UP = 2000 * MS;
    private static final long END = 12_000 * MS;

    /** End of the measured interval; later requests may not have completed. */
    private static final long COUNTED_TO = END - 1000 * MS;

    private static final long CUT_FROM = 5000 * MS;
    private static final long CUT_TO = 8000 * MS;
    private static final long NEAR_DELAY = MS / 10;
    private static final long FAR_DELAY = MS / 2;
    private static final long CONNECT_TIMEOUT = 500 * MS;
    private static final long PROBE = 500 * MS;

    enum Strategy {
        OWN,
        OWN_AND_WINDOW,
        HOME
    }

    enum Fault {
        NONE,
        SLOW,
        FAILS_FAST,
        CUT
    }

    private record Event(long time, long seq, Runnable action) {}

    private record SimulatedRequest(long arrived, RequestClass requestClass) {}

    private final Strategy mStrategy;
    private final Fault mFault;
    private final SplittableRandom mRandom;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparing(Event::seq));
    private final List<Instance> mInstances = new ArrayList<>();
    private final List<Entry> mEntries = new ArrayList<>();
    private final List<Long> mLatencies = new ArrayList<>();
    private final List<Long> mUrgentLatencies = new ArrayList<>();
    private long mNow;
    private long mSeq;
    private int mOffered;
    private int mRefused;
    private int mLost;
    private int mSentToFaulty;
    private int mPeakAfterHealing;
    private int mLateAfterHealing;

    private RoutingExperiment(Strategy strategy, Fault fault, long seed) {
        mStrategy = strategy;
        mFault = fault;
        mRandom = new SplittableRandom(seed);
        for (int i = 0; i < INSTANCES; i++) {
            mInstances.add(new Instance(i));
        }
        for (int e = 0; e < ENTRIES; e++) {
            mEntries.add(new Entry(e));
        }
    }

    /** Prints a table of results; the arguments are seeds. */
    public static void main(String[] args) {
        long[] seeds =
                args.length == 0
                        ? new long[] {1, 2, 3}
                        : Arrays.stream(args).mapToLong(Long::parseLong).toArray();
        System.out.println(
                "fault      load way    goodput/offered goodput/capacity p50ms p99ms urgentP99"
                        + " refused% lost faulty% peakAfterHeal lateAfterHeal");
        for (Fault fault : Fault.values()) {
            for (double load : new double[] {0.5, 0.8, 0.95, 1.2, 2.0}) {
                for (Strategy strategy : Strategy.values()) {
                    for (long seed : seeds) {
                        new RoutingExperiment(strategy, fault, seed).run(load);
                    }
                }
            }
        }
    }

    private void run(double load) {
        double rate = load * INSTANCES * SLOTS / SERVICE_TIME;
        scheduleArrival(rate);
        mEntries.forEach(Entry::tick);
        while (!mEvents.isEmpty() && mEvents.peek().time() < END) {
            Event e = mEvents.poll();
            mNow = e.time();
            e.action().run();
        }
        double capacity = (COUNTED_TO - WARM_UP) * (double) INSTANCES * SLOTS / SERVICE_TIME;
        System.out.printf(
                Locale.ROOT,
                "%-10s %.2f %-6s %.4f %.4f %.1f %.1f %.1f %.2f %d %.1f %d %d%n",
                mFault,
                load,
                mStrategy,
                mLatencies.size() / (double) mOffered,
                mLatencies.size() / capacity,
                percentile(mLatencies, 0.5),
                percentile(mLatencies, 0.99),
                percentile(mUrgentLatencies, 0.99),
                100.0 * mRefused / mOffered,
                mLost,
                100.0 * mSentToFaulty / mOffered,
                mPeakAfterHealing,
                mLateAfterHealing);
    }

    private static double percentile(List<Long> times, double p) {
        if (times.isEmpty()) {
            return 0;
        }
        times.sort(null);
        return times.get((int) (p * (times.size() - 1))) / (double) MS;
    }

    private void schedule(long time, Runnable action) {
        mEvents.add(new Event(time, mSeq++, action));
    }

    private void scheduleArrival(double rate) {
        schedule(
                mNow + (long) (-Math.log(1 - mRandom.nextDouble()) / rate),
                () -> {
                    double c = mRandom.nextDouble();
                    RequestClass requestClass =
                            c < 0.2
                                    ? RequestClass.URGENT
                                    : c < 0.7 ? RequestClass.INTERACTIVE : RequestClass.BATCH;
                    mOffered += isCounted(mNow) ? 1 : 0;
                    mEntries.get(mRandom.nextInt(ENTRIES))
                            .take(new SimulatedRequest(mNow, requestClass));
                    scheduleArrival(rate);
                });
    }

    private boolean isCut(int zoneA, int zoneB) {
        boolean crosses = zoneA != zoneB && (zoneA == ZONES - 1 || zoneB == ZONES - 1);
        return mFault == Fault.CUT && crosses && mNow >= CUT_FROM && mNow < CUT_TO;
    }

    private static boolean isCounted(long time) {
        return time >= WARM_UP && time < COUNTED_TO;
    }

    private boolean isAfterHealing(long time) {
        return mFault == Fault.CUT && time >= CUT_TO + 1000 * MS;
    }

    /** An entry with its router and dispatcher, driven like in production. */
    private final class Entry {
        private final int mZone;
        private final Router mRouter;
        private final ServiceDispatcher<SimulatedRequest> mDispatcher;
        private final int[] mMisses = new int[INSTANCES];

        Entry(int index) {
            mZone = index % ZONES;
            mRouter = new Router(ZoneId.of("z" + mZone), 2 * FAR_DELAY, mRandom.split());
            ConnectionShare share =
                    mStrategy == Strategy.HOME
                            ? new ConnectionShare(SLOTS, SLOTS)
                            : ConnectionShare.of(64, 3, 6);
            mRouter.updateInstances(mInstances.stream().map(i -> i.mServer).toList(), s -> share);
            mDispatcher = new ServiceDispatcher<>(SERVICE, mRouter, t -> 1, 0.1);
        }

        void take(SimulatedRequest r) {
            PendingRequest<SimulatedRequest> p =
                    PendingRequest.of(
                            new QueuedRequest<>(r, r.requestClass(), "t", mNow + DEADLINE, 100),
                            RetrySafety.IDEMPOTENT);
            if (!mDispatcher.checkAdmission(p, mNow).admitted()) {
                refused(r);
                return;
            }
            mDispatcher.enqueue(p);
            pump();
        }

        void tick() {
            mDispatcher.removeExpired(mNow).forEach(RoutingExperiment.this::refused);
            mRouter.endDueEjections(mNow);
            pump();
            if (mNow % PROBE == 0) {
                mRouter.targets().forEach(this::probe);
            }
            schedule(mNow + 10 * MS, this::tick);
        }

        private void probe(Target t) {
            Instance i = mInstances.get(Integer.parseInt(t.server().vm().value()));
            if (isCut(mZone, i.mZone)) {
                if (++mMisses[i.mIndex] >= 2) {
                    t.updateHealth(Health.SILENT);
                }
                return;
            }
            mMisses[i.mIndex] = 0;
            t.updateHealth(Health.SERVING);
            if (mStrategy == Strategy.OWN_AND_WINDOW) {
                t.updateLoad(i.inFlight(), SLOTS);
            }
        }

        void pump() {
            for (Optional<Attempt<SimulatedRequest>> a = mDispatcher.nextAttempt(mNow);
                    a.isPresent(); ) {
                send(a.get());
                a = mDispatcher.nextAttempt(mNow);
            }
        }

        private void send(Attempt<SimulatedRequest> a) {
            Instance i = mInstances.get(Integer.parseInt(a.target().server().vm().value()));
            boolean[] done = new boolean[1];
            if (isCut(mZone, i.mZone)) {
                long wait = Math.min(CONNECT_TIMEOUT, a.timeout());
                schedule(mNow + wait, () -> ended(a, AttemptOutcome.NOT_CONNECTED, done));
                return;
            }
            long forwardDelay = mStrategy == Strategy.HOME && i.mIndex != mZone ? NEAR_DELAY : 0;
            long delay = forwardDelay + (mZone == i.mZone ? NEAR_DELAY : FAR_DELAY);
            schedule(mNow + a.timeout(), () -> ended(a, AttemptOutcome.NO_RESPONSE, done));
            schedule(
                    mNow + delay,
                    () ->
                            i.arrive(
                                    a.request().remainingTime(mNow),
                                    outcome ->
                                            schedule(mNow + delay, () -> ended(a, outcome, done))));
        }

        private void ended(Attempt<SimulatedRequest> a, AttemptOutcome outcome, boolean[] done) {
            if (done[0]) {
                return;
            }
            done[0] = true;
            Optional<Attempt<SimulatedRequest>> another =
                    mDispatcher.attemptEnded(a, outcome, mNow);
            if (another.isPresent()) {
                send(another.get());
            } else {
                finished(a.request().item(), outcome);
            }
            pump();
        }
    }

    private void refused(SimulatedRequest r) {
        mRefused += isCounted(r.arrived()) ? 1 : 0;
        mLateAfterHealing += isAfterHealing(r.arrived()) ? 1 : 0;
    }

    private void finished(SimulatedRequest r, AttemptOutcome outcome) {
        if (!isCounted(r.arrived())) {
            return;
        }
        long latency = mNow - r.arrived();
        if (outcome != AttemptOutcome.SUCCESS || latency > DEADLINE) {
            mLost += outcome == AttemptOutcome.BUSY || outcome.nothingSent() ? 0 : 1;
            mRefused += outcome == AttemptOutcome.BUSY || outcome.nothingSent() ? 1 : 0;
            mLateAfterHealing += isAfterHealing(r.arrived()) ? 1 : 0;
            return;
        }
        mLatencies.add(latency);
        if (r.requestClass() == RequestClass.URGENT) {
            mUrgentLatencies.add(latency);
        }
    }

    /** A simulated backend server with concurrent slots and a FIFO queue. */
    private final class Instance {
        private final int mIndex;
        private final int mZone;
        private final BackendServer mServer;
        private final ArrayDeque<Runnable> mQueue = new ArrayDeque<>();
        private int mBusy;

        Instance(int index) {
            mIndex = index;
            mZone = index % ZONES;
            mServer =
                    new BackendServer(
                            VmId.of("" + index),
                            SERVICE,
                            ZoneId.of("z" + mZone),
                            new InetSocketAddress("127.0.0.1", 1));
        }

        int inFlight() {
            return mBusy + mQueue.size();
        }

        void arrive(long remainingTime, java.util.function.Consumer<AttemptOutcome> answer) {
            boolean faulty = mIndex == 0 && mFault != Fault.NONE && mFault != Fault.CUT;
            mSentToFaulty += faulty && isCounted(mNow) ? 1 : 0;
            if (faulty && mFault == Fault.FAILS_FAST) {
                schedule(mNow + MS / 2, () -> answer.accept(AttemptOutcome.SERVER_ERROR));
                return;
            }
            long wait = (long) (mQueue.size() / (double) SLOTS * SERVICE_TIME) + SERVICE_TIME;
            if (mStrategy == Strategy.HOME && wait > remainingTime) {
                answer.accept(AttemptOutcome.BUSY);
                return;
            }
            mQueue.add(() -> serve(faulty, answer));
            if (isAfterHealing(mNow + 1000 * MS)) {
                mPeakAfterHealing = Math.max(mPeakAfterHealing, inFlight());
            }
            startNext();
        }

        private void startNext() {
            while (mBusy < SLOTS && !mQueue.isEmpty()) {
                mBusy++;
                mQueue.poll().run();
            }
        }

        private void serve(boolean slow, java.util.function.Consumer<AttemptOutcome> answer) {
            long time = (long) (SERVICE_TIME * (0.5 + mRandom.nextDouble()) * (slow ? 10 : 1));
            schedule(
                    mNow + time,
                    () -> {
                        mBusy--;
                        answer.accept(AttemptOutcome.SUCCESS);
                        startNext();
                    });
        }
    }
}
