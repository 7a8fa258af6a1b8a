package org.foxtailplank.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Owners that follow each other, the writer's epoch in the store, and a VM service that obeys
 * whoever calls; one state of all of them, from which every possible next state follows.
 *
 * <p>Time goes in steps. An append or a call that is on its way may arrive in any later step or
 * never. An owner breaks its calls off when their time ends, unless it is suspended, when nothing
 * of it is sent either.
 *
 * @param rules which guards are in force
 * @param scope which events there are
 * @param now true time, in steps
 * @param epoch the epoch that the store has seen last
 * @param highestCall highest token that has called
 * @param broken whether a lower token has called after a higher one
 * @param owners the owners in the order of their tokens, which are 1, 2, 3
 */
record LeaseWorld(
        Rules rules,
        Scope scope,
        int now,
        int epoch,
        int highestCall,
        boolean broken,
        List<Owner> owners) {
    /** Length of a step, in milliseconds. */
    static final long STEP_MS = 600;

    /** What the time of day of a VM is set forward or back by, in milliseconds. */
    private static final long JUMP_MS = 3000;

    LeaseWorld {
        owners = List.copyOf(owners);
    }

    /** The guards, each of which can be left out to see what it is for. */
    record Rules(
            boolean provesFromSending,
            boolean waits,
            boolean countsSuspension,
            boolean countsSteadily,
            boolean saysWhetherCallsAreOver) {
        static Rules all() {
            return new Rules(true, true, true, true, true);
        }
    }

    /** Which events there are; fewer kinds can be looked at in longer orders. */
    record Scope(int mostOwners, boolean suspends, boolean setsClocks, boolean leaves) {}

    /**
     * One owner.
     *
     * @param token its fencing token
     * @param lease its lease
     * @param steadyLagMs how long it was suspended in all
     * @param wallAheadMs by how much its time of day was set
     * @param suspended whether it is suspended
     * @param over whether it has left or learned of its successor
     * @param append its append on its way
     * @param call its call on its way
     */
    record Owner(
            int token,
            CallLease lease,
            long steadyLagMs,
            long wallAheadMs,
            boolean suspended,
            boolean over,
            Optional<Append> append,
            Optional<Call> call) {

        static Owner fresh(int token) {
            CallLease lease = CallLease.of(false);
            return new Owner(token, lease, 0, 0, false, false, Optional.empty(), Optional.empty());
        }

        Moment moment(int now) {
            long ms = now * STEP_MS;
            return new Moment(ms - steadyLagMs, ms + wallAheadMs);
        }

        Owner with(CallLease other) {
            return new Owner(token, other, steadyLagMs, wallAheadMs, suspended, over, append, call);
        }

        Owner with(Optional<Append> other) {
            return new Owner(token, lease, steadyLagMs, wallAheadMs, suspended, over, other, call);
        }

        Owner calling(Optional<Call> other) {
            return new Owner(
                    token, lease, steadyLagMs, wallAheadMs, suspended, over, append, other);
        }

        Owner suspended(boolean is) {
            return new Owner(token, lease, steadyLagMs, wallAheadMs, is, over, append, call);
        }

        Owner lagging(long ms) {
            return new Owner(
                    token, lease, steadyLagMs + ms, wallAheadMs, suspended, over, append, call);
        }

        Owner wallSet(long ms) {
            return new Owner(
                    token, lease, steadyLagMs, wallAheadMs + ms, suspended, over, append, call);
        }

        Owner ended() {
            return new Owner(token, lease, steadyLagMs, wallAheadMs, suspended, true, append, call);
        }
    }

    /** An append: when it was sent, and whether the store has taken it or refused it. */
    record Append(Moment sent, boolean raises, Answer answer) {}

    /** What the store has answered; the answer is on its way. */
    enum Answer {
        NONE,
        STORED,
        FENCED
    }

    /** A call that has to arrive before this moment of its owner's, or never. */
    record Call(Moment sent, long leftMs) {}

    static LeaseWorld start(Rules rules, Scope scope) {
        // The first owner has taken over long ago and has just proved itself.
        Owner first = Owner.fresh(1);
        Moment zero = first.moment(0);
        CallLease lease = first.lease().proved(zero).tookOver(zero.steadyMs(), true);
        return new LeaseWorld(rules, scope, 0, 1, 0, false, List.of(first.with(lease)));
    }

    /** All states that may follow. */
    List<LeaseWorld> next() {
        List<LeaseWorld> next = new ArrayList<>();
        next.add(tick());
        if (owners.size() < scope.mostOwners()) {
            List<Owner> more = new ArrayList<>(owners);
            int token = owners.size() + 1;
            Owner owner = Owner.fresh(token);
            more.add(owner.with(Optional.of(new Append(owner.moment(now), true, Answer.NONE))));
            next.add(new LeaseWorld(rules, scope, now, epoch, highestCall, broken, more));
        }
        for (Owner o : owners) {
            addSteps(o, next);
        }
        return next;
    }

    private void addSteps(Owner o, List<LeaseWorld> next) {
        if (o.suspended()) {
            next.add(with(o.suspended(false)));
            return;
        }
        if (scope.suspends()) {
            next.add(with(o.suspended(true)));
        }
        if (scope.setsClocks() && o.wallAheadMs() == 0) {
            next.add(with(o.wallSet(JUMP_MS)));
            next.add(with(o.wallSet(-JUMP_MS)));
        }
        if (o.call().isPresent()) {
            next.add(arrived(o));
        }
        if (o.append().isPresent()) {
            next.add(o.append().get().answer() == Answer.NONE ? reached(o) : answered(o));
        }
        if (o.over()) {
            return;
        }
        if (scope.leaves()) {
            next.add(with(o.ended()));
        }
        if (o.append().isEmpty()) {
            Append append = new Append(o.moment(now), false, Answer.NONE);
            next.add(with(o.with(Optional.of(append))));
        }
        long left = left(o);
        if (left > 0 && o.call().isEmpty()) {
            next.add(with(o.calling(Optional.of(new Call(o.moment(now), left)))));
        }
    }

    private long left(Owner o) {
        Moment m = o.moment(now);
        CallLease lease = o.lease();
        if (lease.proof().isEmpty()) {
            return 0;
        }
        Moment proof = lease.proof().get();
        if (!rules.countsSuspension()) {
            m = new Moment(m.steadyMs(), proof.wallMs());
        }
        if (!rules.countsSteadily()) {
            long opened = Math.max(proof.steadyMs(), lease.openFromMs());
            m = lease.isOpen(m.steadyMs()) ? new Moment(opened, m.wallMs()) : m;
        }
        return lease.leftMs(m);
    }

    /** The store takes the append or refuses it. */
    private LeaseWorld reached(Owner o) {
        boolean fenced = o.token() < epoch;
        Append append = o.append().get();
        Answer answer = fenced ? Answer.FENCED : Answer.STORED;
        Append after = new Append(append.sent(), append.raises(), answer);
        LeaseWorld world = with(o.with(Optional.of(after)));
        return new LeaseWorld(
                rules, scope, now, Math.max(epoch, o.token()), highestCall, broken, world.owners);
    }

    /** The store's answer arrives. */
    private LeaseWorld answered(Owner o) {
        Append append = o.append().get();
        Owner after = o.with(Optional.<Append>empty());
        if (append.answer() == Answer.FENCED) {
            return with(after.ended());
        }
        Moment proof = rules.provesFromSending() ? append.sent() : o.moment(now);
        CallLease lease = o.lease().proved(proof);
        if (append.raises()) {
            boolean over = !rules.waits() || predecessorOver(o);
            lease = lease.tookOver(o.moment(now).steadyMs(), over);
        }
        return with(after.with(lease));
    }

    /** What a successor reads of its predecessor that has left, or would without that guard. */
    private boolean predecessorOver(Owner o) {
        Owner before = owners.get(o.token() - 2);
        boolean callsOver =
                before.call().isEmpty() && before.lease().isOpen(before.moment(now).steadyMs());
        return before.over() && (callsOver || !rules.saysWhetherCallsAreOver());
    }

    private LeaseWorld arrived(Owner o) {
        boolean lower = o.token() < highestCall;
        LeaseWorld world = with(o.calling(Optional.empty()));
        int highest = Math.max(highestCall, o.token());
        return new LeaseWorld(rules, scope, now, epoch, highest, broken || lower, world.owners);
    }

    /** Time passes; calls whose time ends are broken off. */
    private LeaseWorld tick() {
        List<Owner> after = new ArrayList<>();
        for (Owner o : owners) {
            Owner later = o.suspended() ? o.lagging(STEP_MS) : o;
            boolean late =
                    later.call().isPresent()
                            && later.moment(now + 1).since(later.call().get().sent())
                                    >= later.call().get().leftMs();
            after.add(late ? later.calling(Optional.empty()) : later);
        }
        return new LeaseWorld(rules, scope, now + 1, epoch, highestCall, broken, after);
    }

    private LeaseWorld with(Owner changed) {
        List<Owner> after = new ArrayList<>(owners);
        after.set(changed.token() - 1, changed);
        return new LeaseWorld(rules, scope, now, epoch, highestCall, broken, after);
    }
}
