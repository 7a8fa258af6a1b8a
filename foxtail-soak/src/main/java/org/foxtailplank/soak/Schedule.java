package org.foxtailplank.soak;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.random.RandomGenerator;

/**
 * What strikes a run, and when. Its text can be edited and played again:
 *
 * <pre>
 * run SEED SECONDS ZONES NODES WORKERS
 * at 12.300 node-kill 2 for 4.000
 * end all-killed
 * </pre>
 *
 * @param seed seed of the callers' jobs
 * @param size how large the run is
 * @param faults what strikes, by time
 * @param ending what strikes at the end
 */
public record Schedule(long seed, SoakSize size, List<Fault> faults, RunEnding ending) {
    /** Faults begin no sooner, so that a first owner is there. */
    private static final double FIRST_S = 1;

    /** Mean time between two faults, in seconds: with their lengths two overlap as a rule. */
    private static final double GAP_S = 2;

    private static final double SHORTEST_S = 0.5;
    private static final double LONGEST_S = 6;

    /** Mean time between two workers that shrink, in seconds. */
    private static final double SHRINK_GAP_S = 4;

    /** How long a worker stays shrunk, in seconds; long enough for owners to learn of it. */
    private static final double SHRUNK_S = 15;

    /** Sets the draw of shrinking workers apart, so that older seeds keep their other faults. */
    private static final long SHRINK_SEED = 0x5eed;

    /** Mean time between two workers that start again under their IDs, in seconds. */
    private static final double RESTART_GAP_S = 3;

    /** Longest time for which such a worker is down, in seconds. */
    private static final double LONGEST_RESTART_S = 1;

    /** Sets the draw of these workers apart in the same way. */
    private static final long RESTART_SEED = 0xb02;

    /** Mean time between two faults that concern organisations, in seconds. */
    private static final double ORGANISATION_GAP_S = 2;

    /** Sets the draw of these faults apart in the same way. */
    private static final long ORGANISATION_SEED = 0x0a9;

    /** Mean time between two nodes whose connections to the platform go silent, in seconds. */
    private static final double SILENCE_GAP_S = 3;

    /** Mean time between two changes of routes, in seconds. */
    private static final double ROUTE_GAP_S = 0.7;

    /** Mean time between two nodes whose reads of the store take long, in seconds. */
    private static final double FAR_GAP_S = 3;

    /** Sets the draw of these apart in the same way. */
    private static final long CONFIG_SEED = 0xc0f;

    /** Mean time between two entries of another writer, in seconds. */
    private static final double FOREIGN_GAP_S = 1;

    /** Sets the draw of these entries apart in the same way. */
    private static final long FOREIGN_SEED = 0xf0e;

    /** Mean time between two faults that let owners change places, in seconds. */
    private static final double OWNERS_GAP_S = 4;

    private static final double LONGEST_OWNERS_S = 2.5;
    private static final double SHORTEST_REFUSAL_S = 0.3;
    private static final double LONGEST_REFUSAL_S = 1;

    /** Mean time between two losses of all nodes, and how long they are down, in seconds. */
    private static final double ALL_LOST_GAP_S = 12;

    private static final double ALL_LOST_S = 0.5;

    /** Mean time between two faults that delay reads, VM lists or start commands, in seconds. */
    private static final double LATE_GAP_S = 4;

    private static final double LATE_S = 4;

    /** Mean time between two replacements of workers one after the other, in seconds. */
    private static final double REPLACED_GAP_S = 4;

    /** Seed of the draw of all these, apart so that older seeds keep their other faults. */
    private static final long OWNERS_SEED = 0x0b3;

    /** Mean time between two workers that start again as another kind, in seconds. */
    private static final double KIND_GAP_S = 1.2;

    /** One of so many such restarts comes beside a new owner, and one beside a silent store. */
    private static final int KIND_COMPANIONS = 24;

    /** Sets the draw of these workers apart in the same way. */
    private static final long KIND_SEED = 0xb1d;

    /** The longest outage of the store, and the longest loss of all nodes, in seconds. */
    private static final double LONGEST_OUTAGE_S = 4.5;

    private static final double LONGEST_LOSS_S = 9.5;

    /** How long a fault of a series strikes before the one before it ends, in seconds. */
    private static final double OUTAGE_OVERLAP_S = 0.2;

    /** Time between two losses of all nodes, and mean time between two series, in seconds. */
    private static final double LOSS_PAUSE_S = 1.5;

    private static final double OUTAGES_GAP_S = 6;

    /** Runs with series of outages are at least so long, in seconds. */
    private static final int SHORTEST_OUTAGE_RUN_S = 40;

    /** Time of the callers before the first series, so that there are older jobs, in seconds. */
    private static final double FIRST_OUTAGE_S = 8;

    /** Sets the draw of outages in series apart in the same way. */
    private static final long OUTAGES_SEED = 0x0a7;

    /** Retention of the store in runs with rolling restarts, and in others, in seconds. */
    private static final long SHORT_RETENTION_S = 20;

    private static final long LONG_RETENTION_S = 300;

    /** One of so many seeds has a short retention and rolling restarts. */
    private static final int ROLLING = 4;

    /** Time between two rolling restarts, and between two nodes of one, in seconds. */
    private static final double ROLL_GAP_S = 20;

    private static final double ROLL_STEP_S = 1.5;
    private static final double ROLL_DOWN_S = 0.1;

    private static final int RUN_WORDS = 6;
    private static final int FAULT_WORDS = 6;

    public Schedule {
        faults = faults.stream().sorted(Comparator.comparingDouble(Fault::atS)).toList();
    }

    /**
     * A fault.
     *
     * @param atS when it strikes, in seconds from the first caller
     * @param kind what it is
     * @param target number of what it strikes
     * @param forS how long it lasts, in seconds
     */
    public record Fault(double atS, FaultKind kind, int target, double forS) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT, "at %.3f %s %d for %.3f", atS, kind.word(), target, forS);
        }
    }

    /** Draws a schedule from its seed. */
    public static Schedule draw(long seed, SoakSize size) {
        RandomGenerator random = new Random(seed);
        List<Fault> faults = new ArrayList<>();
        FaultKind[] kinds =
                Arrays.stream(FaultKind.values())
                        .filter(k -> !k.isDrawnApart())
                        .toArray(FaultKind[]::new);
        double at = FIRST_S + random.nextDouble() * GAP_S;
        while (at < size.seconds()) {
            FaultKind kind = kinds[random.nextInt(kinds.length)];
            double length = SHORTEST_S + random.nextDouble() * (LONGEST_S - SHORTEST_S);
            faults.add(new Fault(at, kind, kind.target().draw(size, random), length));
            at += random.nextDouble() * 2 * GAP_S;
        }
        addShrinkingWorkers(seed, size, faults);
        addRestartingWorkers(seed, size, faults);
        addOrganisationFaults(seed, size, faults);
        RandomGenerator configRandom = new Random(seed ^ CONFIG_SEED);
        addOften(FaultKind.CONNECTIONS_SILENT, SILENCE_GAP_S, 0, configRandom, size, faults);
        addOften(FaultKind.ROUTE_CHANGED, ROUTE_GAP_S, 0, configRandom, size, faults);
        addOften(FaultKind.NODE_FAR, FAR_GAP_S, LONGEST_S, configRandom, size, faults);
        RandomGenerator foreignRandom = new Random(seed ^ FOREIGN_SEED);
        addOften(FaultKind.FOREIGN_ENTRY, FOREIGN_GAP_S, 0, foreignRandom, size, faults);
        addChangesOfOwners(new Random(seed ^ OWNERS_SEED), size, faults);
        addOtherKinds(new Random(seed ^ KIND_SEED), size, faults);
        if (isRolling(seed)) {
            addRollingRestarts(size, faults);
        }
        if (hasOutages(seed, size)) {
            addOutages(new Random(seed ^ OUTAGES_SEED), size, faults);
        }
        RunEnding[] endings = RunEnding.values();
        return new Schedule(seed, size, faults, endings[random.nextInt(endings.length)]);
    }

    private static boolean isRolling(long seed) {
        return seed % ROLLING == 0;
    }

    private static boolean hasOutages(long seed, SoakSize size) {
        return seed % 2 != 0 && size.seconds() >= SHORTEST_OUTAGE_RUN_S;
    }

    /** The longest outages of the store and losses of all nodes, one upon the other. */
    private enum OutageSeries {
        STORE_THEN_NODES {
            @Override
            double addTo(List<Fault> faults, double atS) {
                return addLoss(faults, addOutage(faults, atS) - OUTAGE_OVERLAP_S);
            }
        },
        NODES_THEN_STORE {
            @Override
            double addTo(List<Fault> faults, double atS) {
                return addOutage(faults, addLoss(faults, atS) - OUTAGE_OVERLAP_S);
            }
        },
        NODES_TWICE {
            @Override
            double addTo(List<Fault> faults, double atS) {
                return addLoss(faults, addLoss(faults, atS) + LOSS_PAUSE_S);
            }
        },
        /** Longer than the short retention. */
        BOTH_TWICE {
            @Override
            double addTo(List<Fault> faults, double atS) {
                double firstEndS = STORE_THEN_NODES.addTo(faults, atS);
                return STORE_THEN_NODES.addTo(faults, firstEndS - OUTAGE_OVERLAP_S);
            }
        };

        /** Adds the faults of a series from a time on; returns when they end, in seconds. */
        abstract double addTo(List<Fault> faults, double atS);

        private static double addOutage(List<Fault> faults, double atS) {
            faults.add(new Fault(atS, FaultKind.STORE_BUSY, 0, LONGEST_OUTAGE_S));
            return atS + LONGEST_OUTAGE_S;
        }

        private static double addLoss(List<Fault> faults, double atS) {
            faults.add(new Fault(atS, FaultKind.NODES_KILL, 0, LONGEST_LOSS_S));
            return atS + LONGEST_LOSS_S;
        }
    }

    /** Adds series of outages that end with the run; the first is longer than the retention. */
    private static void addOutages(RandomGenerator random, SoakSize size, List<Fault> faults) {
        OutageSeries series = OutageSeries.BOTH_TWICE;
        double at = FIRST_OUTAGE_S + random.nextDouble();
        while (true) {
            List<Fault> next = new ArrayList<>();
            double endS = series.addTo(next, at);
            if (endS > size.seconds()) {
                return;
            }
            faults.addAll(next);
            series = OutageSeries.values()[random.nextInt(OutageSeries.values().length)];
            at = endS + random.nextDouble() * 2 * OUTAGES_GAP_S;
        }
    }

    /** How long the store retains records, in seconds. */
    long retentionS() {
        boolean isShort = isRolling(seed) || hasOutages(seed, size);
        return isShort ? SHORT_RETENTION_S : LONG_RETENTION_S;
    }

    private static void addRollingRestarts(SoakSize size, List<Fault> faults) {
        for (double at = FIRST_S; at < size.seconds(); at += ROLL_GAP_S) {
            for (int n = 0; n < size.nodes(); n++) {
                double nodeAt = at + n * ROLL_STEP_S;
                if (nodeAt < size.seconds()) {
                    faults.add(new Fault(nodeAt, FaultKind.NODE_TERM, n, ROLL_DOWN_S));
                }
            }
        }
    }

    private static void addShrinkingWorkers(long seed, SoakSize size, List<Fault> faults) {
        RandomGenerator random = new Random(seed ^ SHRINK_SEED);
        FaultKind kind = FaultKind.WORKER_SHRINK;
        for (double at = FIRST_S;
                at < size.seconds();
                at += random.nextDouble() * 2 * SHRINK_GAP_S) {
            faults.add(new Fault(at, kind, kind.target().draw(size, random), SHRUNK_S));
        }
    }

    private static void addRestartingWorkers(long seed, SoakSize size, List<Fault> faults) {
        RandomGenerator random = new Random(seed ^ RESTART_SEED);
        FaultKind kind = FaultKind.WORKER_RESTART;
        double at = FIRST_S + random.nextDouble() * RESTART_GAP_S;
        while (at < size.seconds()) {
            double downS = random.nextDouble() * LONGEST_RESTART_S;
            faults.add(new Fault(at, kind, kind.target().draw(size, random), downS));
            at += random.nextDouble() * 2 * RESTART_GAP_S;
        }
    }

    /** Workers that start again as another kind and are cut from the store for a time. */
    private static void addOtherKinds(RandomGenerator random, SoakSize size, List<Fault> faults) {
        double at = FIRST_S + random.nextDouble() * KIND_GAP_S;
        while (at < size.seconds()) {
            FaultKind kind = FaultKind.WORKER_OTHER_KIND;
            double cutS = SHORTEST_S + random.nextDouble() * (LONGEST_S - SHORTEST_S);
            faults.add(new Fault(at, kind, kind.target().draw(size, random), cutS));
            switch (random.nextInt(KIND_COMPANIONS)) {
                case 0 -> faults.add(new Fault(at, FaultKind.OWNER_KILL, 0, SHORTEST_S));
                case 1 -> faults.add(new Fault(at, FaultKind.STORE_SILENT, 0, SHORTEST_S));
                default -> {}
            }
            at += random.nextDouble() * 2 * KIND_GAP_S;
        }
    }

    private static void addOrganisationFaults(long seed, SoakSize size, List<Fault> faults) {
        RandomGenerator random = new Random(seed ^ ORGANISATION_SEED);
        FaultKind[] kinds = {FaultKind.KEY_REPLACED, FaultKind.CAP_CUT, FaultKind.FLOOD};
        double at = FIRST_S + random.nextDouble() * ORGANISATION_GAP_S;
        while (at < size.seconds()) {
            FaultKind kind = kinds[random.nextInt(kinds.length)];
            double length = SHORTEST_S + random.nextDouble() * (LONGEST_S - SHORTEST_S);
            faults.add(new Fault(at, kind, kind.target().draw(size, random), length));
            at += random.nextDouble() * 2 * ORGANISATION_GAP_S;
        }
    }

    private static void addChangesOfOwners(
            RandomGenerator random, SoakSize size, List<Fault> faults) {
        FaultKind[] kinds = {
            FaultKind.OWNERS_KILL,
            FaultKind.OWNERS_PAUSE,
            FaultKind.OWNER_STUTTER,
            FaultKind.OWNER_APPENDS_REFUSED,
            FaultKind.SUCCESSOR_APPENDS_REFUSED
        };
        double at = FIRST_S + random.nextDouble() * OWNERS_GAP_S;
        while (at < size.seconds()) {
            FaultKind kind = kinds[random.nextInt(kinds.length)];
            boolean isRefusal = kind == FaultKind.OWNER_APPENDS_REFUSED;
            double shortest = isRefusal ? SHORTEST_REFUSAL_S : SHORTEST_S;
            double longest = isRefusal ? LONGEST_REFUSAL_S : LONGEST_OWNERS_S;
            double length = shortest + random.nextDouble() * (longest - shortest);
            faults.add(new Fault(at, kind, 0, length));
            at += random.nextDouble() * 2 * OWNERS_GAP_S;
        }
        addOften(FaultKind.NODES_KILL, ALL_LOST_GAP_S, ALL_LOST_S, random, size, faults);
        addOften(FaultKind.OWNERS_READ_LATE, LATE_GAP_S, LATE_S, random, size, faults);
        addOften(FaultKind.VM_LISTS_BEHIND, LATE_GAP_S, LATE_S, random, size, faults);
        addOften(FaultKind.WORKERS_REPLACED, REPLACED_GAP_S, LATE_S, random, size, faults);
        addOften(FaultKind.ORDERS_LATER, LATE_GAP_S, SHORTEST_S, random, size, faults);
    }

    private static void addOften(
            FaultKind kind,
            double gapS,
            double forS,
            RandomGenerator random,
            SoakSize size,
            List<Fault> faults) {
        double at = FIRST_S + random.nextDouble() * gapS;
        while (at < size.seconds()) {
            faults.add(new Fault(at, kind, kind.target().draw(size, random), forS));
            at += random.nextDouble() * 2 * gapS;
        }
    }

    /** The same without one of its faults. */
    Schedule without(int fault) {
        List<Fault> left = new ArrayList<>(faults);
        left.remove(fault);
        return new Schedule(seed, size, left, ending);
    }

    /** Its text, which {@link #parse} reads. */
    public String text() {
        StringBuilder text = new StringBuilder();
        text.append(
                String.format(
                        Locale.ROOT,
                        "run %d %d %d %d %d%n",
                        seed,
                        size.seconds(),
                        size.zones(),
                        size.nodes(),
                        size.workers()));
        faults.forEach(f -> text.append(f).append(System.lineSeparator()));
        return text.append("end ").append(ending.word()).append(System.lineSeparator()).toString();
    }

    /** Reads a text; empty lines and those that begin with {@code #} are passed over. */
    public static Schedule parse(String text) throws ScheduleException {
        Parser parser = new Parser();
        int number = 0;
        for (String line : text.lines().toList()) {
            number++;
            if (!line.isBlank() && !line.startsWith("#")) {
                parser.line(number, line.trim().split("\\s+"));
            }
        }
        return parser.schedule(number);
    }

    /** Reads one line after the other. */
    private static final class Parser {
        private final List<Fault> mFaults = new ArrayList<>();
        private long mSeed;
        private SoakSize mSize;
        private RunEnding mEnding;

        void line(int number, String[] words) throws ScheduleException {
            try {
                switch (words[0]) {
                    case "run" -> run(number, words);
                    case "at" -> fault(number, words);
                    case "end" ->
                            mEnding =
                                    RunEnding.of(words.length == 2 ? words[1] : "")
                                            .orElseThrow(() -> problem(number, "no such ending"));
                    default -> throw problem(number, "'" + words[0] + "' is no run, at or end");
                }
            } catch (NumberFormatException e) {
                throw problem(number, "a number is expected: " + e.getMessage());
            } catch (IllegalArgumentException e) {
                throw problem(number, e.getMessage());
            }
        }

        private static ScheduleException problem(int number, String text) {
            return new ScheduleException(number, text);
        }

        private void run(int number, String[] words) throws ScheduleException {
            if (words.length != RUN_WORDS) {
                throw problem(number, "run SEED SECONDS ZONES NODES WORKERS is expected");
            }
            mSeed = Long.parseLong(words[1]);
            mSize =
                    new SoakSize(
                            Integer.parseInt(words[2]),
                            Integer.parseInt(words[3]),
                            Integer.parseInt(words[4]),
                            Integer.parseInt(words[5]));
        }

        private void fault(int number, String[] words) throws ScheduleException {
            if (words.length != FAULT_WORDS || !words[4].equals("for") || mSize == null) {
                throw problem(number, "after run, at SECONDS KIND TARGET for SECONDS is expected");
            }
            FaultKind kind =
                    FaultKind.of(words[2])
                            .orElseThrow(() -> problem(number, "no fault " + words[2]));
            int target = Integer.parseInt(words[3]);
            if (!kind.target().has(mSize, target)) {
                throw problem(number, "the run has no target " + target);
            }
            double at = Double.parseDouble(words[1]);
            double length = Double.parseDouble(words[5]);
            if (!(at >= 0 && length >= 0)) {
                throw problem(number, "times are not negative");
            }
            mFaults.add(new Fault(at, kind, target, length));
        }

        Schedule schedule(int lines) throws ScheduleException {
            if (mSize == null || mEnding == null) {
                throw problem(lines, "a line with run and one with end are expected");
            }
            return new Schedule(mSeed, mSize, mFaults, mEnding);
        }
    }
}
