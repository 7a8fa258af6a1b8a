package org.foxtailplank.node.owner;

import org.foxtailplank.lease.CallLease;
import org.foxtailplank.lease.ClockReading;
import org.foxtailplank.lease.RenewalWindow;
import org.foxtailplank.node.Clock;
import org.foxtailplank.port.VmClient.CallPermit;

/** Limits how long an owner may call the VM service and renew worker leases. */
final class OwnerLease implements CallPermit {
    private final Clock mClock;
    private CallLease mCallLease;
    private RenewalWindow mRenewalWindow = RenewalWindow.closed();
    private long mTookOverMs;

    /**
     * Creates the lease of a new owner.
     *
     * @param vmTokensChecked whether the VM service itself rejects lower tokens
     */
    OwnerLease(Clock clock, boolean vmTokensChecked) {
        mClock = clock;
        mCallLease = CallLease.of(vmTokensChecked);
    }

    /** Extends the lease: an append first sent at this time was stored under this owner's epoch. */
    void appendStored(ClockReading sent) {
        mCallLease = mCallLease.extendedFrom(sent);
        mRenewalWindow = mRenewalWindow.extendedFrom(sent);
    }

    /** Called once earlier owners can no longer store records. */
    void epochRaised(boolean predecessorCallsFinished) {
        mTookOverMs = mClock.nowMs();
        mCallLease = mCallLease.epochRaised(mTookOverMs, predecessorCallsFinished);
    }

    /** Time since the takeover, in milliseconds. */
    long ownedMs() {
        return mClock.nowMs() - mTookOverMs;
    }

    /** Whether no earlier owner can have a VM call in flight. */
    boolean arePredecessorCallsFinished() {
        return mCallLease.isWaitOver(mClock.nowMs());
    }

    /** Length of a worker lease that may be granted now, in milliseconds; 0 for none. */
    long workerLeaseMs(long maxMs) {
        return mRenewalWindow.leaseMs(mClock.moment(), maxMs);
    }

    @Override
    public long leftMs() {
        return mCallLease.remainingMs(mClock.moment());
    }
}
