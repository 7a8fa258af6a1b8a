package org.foxtailplank.node.owner;

import org.foxtailplank.lease.CallLease;
import org.foxtailplank.lease.Moment;
import org.foxtailplank.lease.RenewalWindow;
import org.foxtailplank.node.Clock;
import org.foxtailplank.port.VmActions.CallPermit;

/** For how long an owner may call the VM service and renew leases, kept up to date. */
final class OwnerLease implements CallPermit {
    private final Clock mClock;
    private CallLease mLease;
    private RenewalWindow mWindow = RenewalWindow.closed();
    private long mTookOverMs;

    /**
     * The lease of an owner that has just taken its place.
     *
     * @param checked whether the VM service refuses lower tokens itself
     */
    OwnerLease(Clock clock, boolean checked) {
        mClock = clock;
        mLease = CallLease.of(checked);
    }

    /** An append of this owner's is stored that was first sent then. */
    void proved(Moment sent) {
        mLease = mLease.proved(sent);
        mWindow = mWindow.proved(sent);
    }

    /** Earlier owners can store nothing more. */
    void tookOver(boolean predecessorOver) {
        mTookOverMs = mClock.nowMs();
        mLease = mLease.tookOver(mTookOverMs, predecessorOver);
    }

    /** How long ago it took over, in milliseconds. */
    long ownedMs() {
        return mClock.nowMs() - mTookOverMs;
    }

    /** Whether no earlier owner's call can be under way any more. */
    boolean isOpen() {
        return mLease.isOpen(mClock.nowMs());
    }

    /** Length of a worker's lease that is given now, in milliseconds; 0 for none. */
    long workerLeaseMs(long longestMs) {
        return mWindow.leaseMs(mClock.moment(), longestMs);
    }

    @Override
    public long leftMs() {
        return mLease.leftMs(mClock.moment());
    }
}
