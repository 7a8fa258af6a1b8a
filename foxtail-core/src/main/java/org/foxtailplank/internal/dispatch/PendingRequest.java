package org.foxtailplank.internal.dispatch;

import java.util.HashSet;
import java.util.Set;
import org.foxtailplank.id.VmId;
import org.foxtailplank.internal.admission.Ticket;

/**
 * A request on its way, from its admission until its last attempt has ended.
 *
 * @param <T> what stands for the request
 */
public final class PendingRequest<T> {

    private final Ticket<T> mTicket;
    private final RunRule mRule;
    private final Set<VmId> mTried = new HashSet<>();
    private int mAttempts;

    private PendingRequest(Ticket<T> ticket, RunRule rule) {
        mTicket = ticket;
        mRule = rule;
    }

    /** A request that waits with a ticket and may run as a rule says. */
    public static <T> PendingRequest<T> of(Ticket<T> ticket, RunRule rule) {
        return new PendingRequest<>(ticket, rule);
    }

    /** What stands for the request. */
    public T item() {
        return mTicket.item();
    }

    /** How often it may run. */
    public RunRule rule() {
        return mRule;
    }

    /** Its place among those that wait. */
    Ticket<T> ticket() {
        return mTicket;
    }

    /** Instances that were tried; another attempt goes to others where there are any. */
    Set<VmId> tried() {
        return mTried;
    }

    int attempts() {
        return mAttempts;
    }

    void attempted(VmId vm) {
        mTried.add(vm);
        mAttempts++;
    }

    long left(long now) {
        return mTicket.deadline() - now;
    }
}
