package org.foxtailplank.soak;

import java.util.EnumSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/** What can strike a run from outside, and what it strikes. */
public enum FaultKind {
    NODE_KILL(Target.NODE),
    NODE_TERM(Target.NODE),
    NODE_PAUSE(Target.NODE),
    NODE_RELOAD(Target.NODE),
    NODE_ELSEWHERE(Target.NODE),
    NODE_CUT(Target.NODE),
    NODE_CUT_ONE_WAY(Target.NODE),
    NODE_RESET(Target.NODE),
    NODE_DELAY(Target.NODE),
    NODE_NARROW(Target.NODE),
    OWNER_KILL(Target.NOTHING),
    OWNER_PAUSE(Target.NOTHING),
    OWNER_CUT(Target.NOTHING),
    OWNER_TERM(Target.NOTHING),
    NODES_KILL(Target.NOTHING),
    ZONE_CUT(Target.ZONE),
    STORE_SILENT(Target.NOTHING),
    STORE_BUSY(Target.NOTHING),
    STORE_SLOW(Target.NOTHING),
    STORE_ANSWERS_LOST(Target.NOTHING),
    PARTITION_AWAY(Target.PARTITION),
    HISTORY_DROPPED(Target.NOTHING),
    VMS_SILENT(Target.NOTHING),
    WORKER_CRASH(Target.WORKER),
    WORKER_DRAIN(Target.WORKER),
    WORKERS_CUT(Target.ZONE),
    LATE_ORDERS(Target.WORKER),
    WAVE(Target.WORKER),
    WORKER_SHRINK(Target.WORKER),
    WORKER_RESTART(Target.WORKER),
    KEY_REPLACED(Target.ORGANISATION),
    CAP_CUT(Target.ORGANISATION),
    FLOOD(Target.ORGANISATION),
    CONNECTIONS_SILENT(Target.NODE),
    ROUTE_CHANGED(Target.NOTHING),
    NODE_FAR(Target.NODE),
    FOREIGN_ENTRY(Target.WORKER),
    OWNERS_KILL(Target.NOTHING),
    OWNERS_PAUSE(Target.NOTHING),
    OWNER_STUTTER(Target.NOTHING),
    OWNER_APPENDS_REFUSED(Target.NOTHING),
    SUCCESSOR_APPENDS_REFUSED(Target.NOTHING),
    OWNERS_READ_LATE(Target.NOTHING),
    VM_LISTS_BEHIND(Target.NOTHING),
    WORKERS_REPLACED(Target.WORKER),
    ORDERS_LATER(Target.WORKER),
    WORKER_OTHER_KIND(Target.WORKER);

    /** What a fault strikes. */
    enum Target {
        NOTHING,
        NODE,
        ZONE,
        WORKER,
        PARTITION,
        ORGANISATION;

        private static final int PARTITIONS = 3;
        private static final int ORGANISATIONS = 3;

        int draw(SoakSize size, RandomGenerator random) {
            return switch (this) {
                case NOTHING -> 0;
                case NODE -> random.nextInt(size.nodes());
                case ZONE -> random.nextInt(size.zones());
                case WORKER -> random.nextInt(size.workers());
                case PARTITION -> random.nextInt(PARTITIONS);
                case ORGANISATION -> random.nextInt(ORGANISATIONS);
            };
        }

        boolean has(SoakSize size, int target) {
            int most =
                    switch (this) {
                        case NOTHING -> 1;
                        case NODE -> size.nodes();
                        case ZONE -> size.zones();
                        case WORKER -> size.workers();
                        case PARTITION -> PARTITIONS;
                        case ORGANISATION -> ORGANISATIONS;
                    };
            return target >= 0 && target < most;
        }
    }

    /** Kinds that are drawn with others, so that seeds keep their faults when a kind is added. */
    private static final Set<FaultKind> DRAWN_APART =
            EnumSet.of(
                    WORKER_SHRINK,
                    WORKER_RESTART,
                    KEY_REPLACED,
                    CAP_CUT,
                    FLOOD,
                    CONNECTIONS_SILENT,
                    ROUTE_CHANGED,
                    NODE_FAR,
                    FOREIGN_ENTRY,
                    OWNERS_KILL,
                    OWNERS_PAUSE,
                    OWNER_STUTTER,
                    OWNER_APPENDS_REFUSED,
                    SUCCESSOR_APPENDS_REFUSED,
                    OWNERS_READ_LATE,
                    VM_LISTS_BEHIND,
                    WORKERS_REPLACED,
                    ORDERS_LATER,
                    WORKER_OTHER_KIND);

    private final Target mTarget;

    FaultKind(Target target) {
        mTarget = target;
    }

    Target target() {
        return mTarget;
    }

    boolean isDrawnApart() {
        return DRAWN_APART.contains(this);
    }

    /** The name in a schedule's text. */
    String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    static Optional<FaultKind> of(String word) {
        for (FaultKind k : values()) {
            if (k.word().equals(word)) {
                return Optional.of(k);
            }
        }
        return Optional.empty();
    }
}
