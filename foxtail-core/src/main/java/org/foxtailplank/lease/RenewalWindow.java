package org.foxtailplank.lease;

import java.util.Optional;

/**
 * For how long an owner may still renew the leases of workers.
 *
 * <p>Guards against a task that runs on two workers: an owner is cut off from the shared log
 * together with some workers, and is replaced. It learns of nothing and goes on renewing their
 * leases. Its successor reaches none of them, takes the leases as over after the time that one
 * lasts, and starts the tasks elsewhere. Workers compare tokens, but only of owners that reach
 * them.
 *
 * <p>An append that was stored under an owner's own epoch proves that the owner was not replaced
 * when the append was sent. A lease that the owner gives ends at most {@link #LENGTH_MS} and the
 * length of a lease after that. A successor raises the epoch first, so that all proofs of earlier
 * owners are older; it adds {@link #WAIT_MS} to the lease of a worker that it has not reached.
 *
 * @param proof when the newest append was first sent that was stored under the owner's epoch
 */
public record RenewalWindow(Optional<Moment> proof) {
    /**
     * For how long full leases are given without a proof, in milliseconds. With a lease of six
     * seconds on top, standing tasks outlive a store that takes nothing for eight seconds; each
     * second more is one that a successor waits for workers that it doesn't reach.
     */
    public static final long LENGTH_MS = 3000;

    /** What a successor adds, in milliseconds: that, and two clocks that drift apart by 2% each. */
    public static final long WAIT_MS = LENGTH_MS + 150;

    /** The window of an owner that has proved nothing yet. */
    public static RenewalWindow closed() {
        return new RenewalWindow(Optional.empty());
    }

    /** An append under the owner's epoch is stored; {@code sent} is when it was first sent. */
    public RenewalWindow proved(Moment sent) {
        return new RenewalWindow(Optional.of(sent));
    }

    /** Length of a lease that is given now, in milliseconds; 0 for none. */
    public long leaseMs(Moment now, long longestMs) {
        if (proof.isEmpty()) {
            return 0;
        }
        long overdue = Math.max(0, now.since(proof.get()) - LENGTH_MS);
        return Math.max(0, longestMs - overdue);
    }
}
