package org.foxtailplank.lease;

import java.util.Optional;

/**
 * Whether an owner may call the VM service, and for how long.
 *
 * <p>Guards against two owners that call the VM service for the same VM in turns where that service
 * obeys whoever calls: an owner is cut off from the store and replaced, goes on calling, and a VM
 * is moved or rebooted against the plan of the owner in force. The shared log refuses appends of an
 * earlier owner from the moment at which its successor has raised the writer's epoch. So an append
 * that was stored under an owner's own epoch proves that the owner was not replaced when the append
 * was sent, and the owner calls for {@link #LENGTH_MS} from then on. Its calls are broken off when
 * that time ends, so that none arrives later. A successor waits that time out after it has raised
 * the epoch, unless its predecessor has left with no call under way. Who holds a higher token never
 * waits for more than one lease: raising the epoch ends those of all predecessors.
 *
 * <p>Only calls to the VM service wait. Workers compare tokens themselves.
 *
 * @param checked whether the VM service refuses lower tokens itself, so that no lease is needed
 * @param proof when the newest append was first sent that was stored under the owner's epoch
 * @param openFromMs when calls may begin, on the owner's steady clock
 */
public record CallLease(boolean checked, Optional<Moment> proof, long openFromMs) {
    /**
     * How long a proof holds, in milliseconds. An owner writes every 400 ms, and an append takes
     * half a second while the store is 60 times as slow: with less, its calls would stop each time.
     * With more, VMs wait longer at each change of owner.
     */
    public static final long LENGTH_MS = 1000;

    /**
     * What a successor waits beyond that, in milliseconds: two clocks that drift apart by 2% each,
     * and a timer that fires late on a busy VM.
     */
    public static final long MARGIN_MS = 150;

    /** Time after which no call of an earlier owner can be under way, in milliseconds. */
    public static final long WAIT_MS = LENGTH_MS + MARGIN_MS;

    /** With less time left no call is begun, in milliseconds: some round trips to the service. */
    public static final long LEAST_CALL_MS = 200;

    private static final long NOT_OPEN = Long.MAX_VALUE;

    /** The lease of an owner that has not taken over yet. */
    public static CallLease of(boolean checked) {
        return new CallLease(checked, Optional.empty(), NOT_OPEN);
    }

    /**
     * An append under the owner's epoch is stored; {@code sent} is when it was first sent. One that
     * comes late, from a part of the log that was away, says less than what is known.
     */
    public CallLease proved(Moment sent) {
        boolean newer = proof.map(p -> sent.steadyMs() >= p.steadyMs()).orElse(true);
        return newer ? new CallLease(checked, Optional.of(sent), openFromMs) : this;
    }

    /**
     * The epoch is raised: all earlier owners can store nothing more.
     *
     * @param predecessorOver whether the predecessor surely has no call under way, nor begins one
     */
    public CallLease tookOver(long nowMs, boolean predecessorOver) {
        long wait = predecessorOver ? 0 : WAIT_MS;
        return new CallLease(checked, proof, nowMs + wait);
    }

    /** Whether no earlier owner's call can be under way any more. */
    public boolean isOpen(long nowMs) {
        return checked || nowMs >= openFromMs;
    }

    /** How long a call that begins now may be under way, in milliseconds; 0 for no call. */
    public long leftMs(Moment now) {
        if (checked) {
            return Long.MAX_VALUE;
        }
        if (proof.isEmpty() || !isOpen(now.steadyMs())) {
            return 0;
        }
        long left = LENGTH_MS - now.since(proof.get());
        return left < LEAST_CALL_MS ? 0 : left;
    }
}
