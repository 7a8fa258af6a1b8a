package org.foxtailplank.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * State of a model of successive owners, the writer epoch in the store, and a VM service that
 * doesn't check tokens. {@link #successors()} enumerates all possible next states.
 *
 * <p>Time is discrete. A pending append or call may arrive in any later step or never. An owner
 * aborts its calls at their time limit. A suspended owner neither sends nor aborts anything.
 *
 * @param guards enabled guards
 * @param scope events included in the model
 * @param now real time, in steps
 * @param epoch latest epoch in the store
 * @param highestCallToken highest token that has called the VM service
 * @param violated whether a lower token has called after a higher one
 * @param owners owners in token order, starting from token 1
 */
record LeaseModel(
        Guards guards,
        Scope scope,
        int now,
        int epoch,
        int highestCallToken,
        boolean violated,
        List<Owner> owners) {
    /** Length of a step, in milliseconds. */
    static final long STEP_MS = 600;

    /** Size of a wall clock step, in milliseconds. */
    private static final long JUMP_MS = 3000;

    LeaseModel {
        owners = List.copyOf(owners);
    }

    /** Guards, each of which can be disabled to verify that it is needed. */
    record Guards(
            boolean extendsFromSendTime,
            boolean successorWaits,
            boolean usesWallClock,
            boolean usesMonotonicClock,
            boolean reportsPendingCalls) {
        static Guards all() {
            return new Guards(true, true, true, true, true);
        }
    }

    /** Bounds of the model; a smaller scope can be explored to a greater depth. */
    record Scope(int maxOwners, boolean suspends, boolean setsClocks, boolean leaves) {}

    /**
     * State of one owner.
     *
     * @param token fencing token
     * @param lease lease of calls
     * @param suspendedMs total time suspended
     * @param wallOffsetMs offset of the wall clock from real time
     * @param suspended whether the owner is suspended
     * @param stopped whether the owner has stopped or was fenced
     * @param pendingAppend append in progress
     * @param pendingCall call in progress
     */
    record Owner(
            int token,
            CallLease lease,
            long suspendedMs,
            long wallOffsetMs,
            boolean suspended,
            boolean stopped,
            Optional<Append> pendingAppend,
            Optional<Call> pendingCall) {

        static Owner create(int token) {
            CallLease lease = CallLease.of(false);
            return new Owner(token, lease, 0, 0, false, false, Optional.empty(), Optional.empty());
        }

        ClockReading clock(int now) {
            long ms = now * STEP_MS;
            return new ClockReading(ms - suspendedMs, ms + wallOffsetMs);
        }

        Owner withLease(CallLease newLease) {
            return new Owner(
                    token,
                    newLease,
                    suspendedMs,
                    wallOffsetMs,
                    suspended,
                    stopped,
                    pendingAppend,
                    pendingCall);
        }

        Owner withAppend(Optional<Append> newAppend) {
            return new Owner(
                    token,
                    lease,
                    suspendedMs,
                    wallOffsetMs,
                    suspended,
                    stopped,
                    newAppend,
                    pendingCall);
        }

        Owner withCall(Optional<Call> newCall) {
            return new Owner(
                    token,
                    lease,
                    suspendedMs,
                    wallOffsetMs,
                    suspended,
                    stopped,
                    pendingAppend,
                    newCall);
        }

        Owner withSuspended(boolean nowSuspended) {
            return new Owner(
                    token,
                    lease,
                    suspendedMs,
                    wallOffsetMs,
                    nowSuspended,
                    stopped,
                    pendingAppend,
                    pendingCall);
        }

        Owner addSuspension(long ms) {
            return new Owner(
                    token,
                    lease,
                    suspendedMs + ms,
                    wallOffsetMs,
                    suspended,
                    stopped,
                    pendingAppend,
                    pendingCall);
        }

        Owner shiftWallClock(long ms) {
            return new Owner(
                    token,
                    lease,
                    suspendedMs,
                    wallOffsetMs + ms,
                    suspended,
                    stopped,
                    pendingAppend,
                    pendingCall);
        }

        Owner stop() {
            return new Owner(
                    token,
                    lease,
                    suspendedMs,
                    wallOffsetMs,
                    suspended,
                    true,
                    pendingAppend,
                    pendingCall);
        }
    }

    /** An append in progress, with the store's response once it has been processed. */
    record Append(ClockReading sentAt, boolean raisesEpoch, StoreResponse response) {}

    /** Response of the store, which the owner hasn't received yet. */
    enum StoreResponse {
        NONE,
        STORED,
        FENCED
    }

    /** A call in progress, which its owner aborts when its remaining time is over. */
    record Call(ClockReading sentAt, long remainingMs) {}

    static LeaseModel initial(Guards guards, Scope scope) {
        // The first owner's wait is over, and its lease has just been extended.
        Owner first = Owner.create(1);
        ClockReading zero = first.clock(0);
        CallLease lease = first.lease().extendedFrom(zero).epochRaised(zero.steadyMs(), true);
        return new LeaseModel(guards, scope, 0, 1, 0, false, List.of(first.withLease(lease)));
    }

    /** Returns all possible next states. */
    List<LeaseModel> successors() {
        List<LeaseModel> next = new ArrayList<>();
        next.add(tick());
        if (owners.size() < scope.maxOwners()) {
            List<Owner> more = new ArrayList<>(owners);
            int token = owners.size() + 1;
            Owner owner = Owner.create(token);
            more.add(
                    owner.withAppend(
                            Optional.of(new Append(owner.clock(now), true, StoreResponse.NONE))));
            next.add(new LeaseModel(guards, scope, now, epoch, highestCallToken, violated, more));
        }
        for (Owner o : owners) {
            addOwnerSteps(o, next);
        }
        return next;
    }

    private void addOwnerSteps(Owner o, List<LeaseModel> next) {
        if (o.suspended()) {
            next.add(replaceOwner(o.withSuspended(false)));
            return;
        }
        if (scope.suspends()) {
            next.add(replaceOwner(o.withSuspended(true)));
        }
        if (scope.setsClocks() && o.wallOffsetMs() == 0) {
            next.add(replaceOwner(o.shiftWallClock(JUMP_MS)));
            next.add(replaceOwner(o.shiftWallClock(-JUMP_MS)));
        }
        if (o.pendingCall().isPresent()) {
            next.add(callArrives(o));
        }
        if (o.pendingAppend().isPresent()) {
            next.add(
                    o.pendingAppend().get().response() == StoreResponse.NONE
                            ? appendReachesStore(o)
                            : responseArrives(o));
        }
        if (o.stopped()) {
            return;
        }
        if (scope.leaves()) {
            next.add(replaceOwner(o.stop()));
        }
        if (o.pendingAppend().isEmpty()) {
            Append append = new Append(o.clock(now), false, StoreResponse.NONE);
            next.add(replaceOwner(o.withAppend(Optional.of(append))));
        }
        long remaining = remainingMs(o);
        if (remaining > 0 && o.pendingCall().isEmpty()) {
            next.add(replaceOwner(o.withCall(Optional.of(new Call(o.clock(now), remaining)))));
        }
    }

    private long remainingMs(Owner o) {
        ClockReading reading = o.clock(now);
        CallLease lease = o.lease();
        if (lease.lastAppendSentAt().isEmpty()) {
            return 0;
        }
        ClockReading sentAt = lease.lastAppendSentAt().get();
        if (!guards.usesWallClock()) {
            reading = new ClockReading(reading.steadyMs(), sentAt.wallMs());
        }
        if (!guards.usesMonotonicClock()) {
            long frozenMs = Math.max(sentAt.steadyMs(), lease.waitUntilMs());
            reading =
                    lease.isWaitOver(reading.steadyMs())
                            ? new ClockReading(frozenMs, reading.wallMs())
                            : reading;
        }
        return lease.remainingMs(reading);
    }

    /** Lets the store accept or reject the append. */
    private LeaseModel appendReachesStore(Owner o) {
        boolean fenced = o.token() < epoch;
        Append append = o.pendingAppend().get();
        StoreResponse response = fenced ? StoreResponse.FENCED : StoreResponse.STORED;
        Append after = new Append(append.sentAt(), append.raisesEpoch(), response);
        LeaseModel state = replaceOwner(o.withAppend(Optional.of(after)));
        return new LeaseModel(
                guards,
                scope,
                now,
                Math.max(epoch, o.token()),
                highestCallToken,
                violated,
                state.owners);
    }

    /** Delivers the store's response to the owner. */
    private LeaseModel responseArrives(Owner o) {
        Append append = o.pendingAppend().get();
        Owner after = o.withAppend(Optional.<Append>empty());
        if (append.response() == StoreResponse.FENCED) {
            return replaceOwner(after.stop());
        }
        ClockReading sentAt = guards.extendsFromSendTime() ? append.sentAt() : o.clock(now);
        CallLease lease = o.lease().extendedFrom(sentAt);
        if (append.raisesEpoch()) {
            boolean waitSkipped = !guards.successorWaits() || predecessorStopped(o);
            lease = lease.epochRaised(o.clock(now).steadyMs(), waitSkipped);
        }
        return replaceOwner(after.withLease(lease));
    }

    /** Returns whether the predecessor appears to have stopped with no pending calls. */
    private boolean predecessorStopped(Owner o) {
        Owner predecessor = owners.get(o.token() - 2);
        boolean callsOver =
                predecessor.pendingCall().isEmpty()
                        && predecessor.lease().isWaitOver(predecessor.clock(now).steadyMs());
        return predecessor.stopped() && (callsOver || !guards.reportsPendingCalls());
    }

    private LeaseModel callArrives(Owner o) {
        boolean lower = o.token() < highestCallToken;
        LeaseModel state = replaceOwner(o.withCall(Optional.empty()));
        int highest = Math.max(highestCallToken, o.token());
        return new LeaseModel(guards, scope, now, epoch, highest, violated || lower, state.owners);
    }

    /** Advances time by one step and aborts calls that have reached their time limit. */
    private LeaseModel tick() {
        List<Owner> after = new ArrayList<>();
        for (Owner o : owners) {
            Owner later = o.suspended() ? o.addSuspension(STEP_MS) : o;
            boolean late =
                    later.pendingCall().isPresent()
                            && later.clock(now + 1).elapsedSince(later.pendingCall().get().sentAt())
                                    >= later.pendingCall().get().remainingMs();
            after.add(late ? later.withCall(Optional.empty()) : later);
        }
        return new LeaseModel(guards, scope, now + 1, epoch, highestCallToken, violated, after);
    }

    private LeaseModel replaceOwner(Owner changed) {
        List<Owner> after = new ArrayList<>(owners);
        after.set(changed.token() - 1, changed);
        return new LeaseModel(guards, scope, now, epoch, highestCallToken, violated, after);
    }
}
