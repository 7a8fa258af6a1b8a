package org.foxtailplank.schedule;

import java.util.Optional;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.port.WorkerInfo;

/**
 * What the directory says of one incarnation of a worker.
 *
 * <p>Its attributes, such as labels and capacity, are those of the entry that this incarnation
 * registered itself, and are absent until that entry has been read: another incarnation under the
 * same ID may be a worker of another kind.
 */
public final class Registration {
    private WorkerIncarnation mIncarnation;
    private String mAddress;
    private Optional<WorkerInfo> mEntry = Optional.empty();
    private boolean mListed;
    private boolean mCurrent;

    /** Creates the registration of an incarnation whose entry has not been read. */
    Registration(WorkerIncarnation incarnation, String address) {
        mIncarnation = incarnation;
        mAddress = address;
    }

    WorkerIncarnation incarnation() {
        return mIncarnation;
    }

    /** Corrects the incarnation; an entry of the assumed one is not this one's. */
    void setIncarnation(WorkerIncarnation incarnation) {
        mIncarnation = incarnation;
        mEntry = mEntry.filter(e -> e.incarnation().equals(incarnation));
        mCurrent &= mEntry.isPresent();
    }

    /**
     * Applies an entry that this incarnation registered.
     *
     * @throws IllegalArgumentException if another incarnation registered it
     */
    void apply(WorkerInfo entry) {
        if (!entry.incarnation().equals(mIncarnation)) {
            throw new IllegalArgumentException(
                    String.format("entry of %s for %s", entry.incarnation(), mIncarnation));
        }
        mEntry = Optional.of(entry);
        mAddress = entry.address();
        mListed = true;
        mCurrent = true;
    }

    /** Records that the directory lists the worker's ID by the entry of another incarnation. */
    void markListedByOther() {
        mListed = true;
    }

    /** Records that the directory no longer lists the worker, or by an entry that can't be read. */
    void markUnlisted() {
        mListed = false;
        mCurrent = false;
    }

    /** Whether the directory lists the worker's ID, be it by the entry of another incarnation. */
    public boolean isListed() {
        return mListed;
    }

    /** Whether this incarnation's entry has been read, and has not been unlisted since. */
    boolean isCurrent() {
        return mCurrent;
    }

    /** Whether this incarnation's entry has been read, even if it has been unlisted since. */
    public boolean isKnown() {
        return mEntry.isPresent();
    }

    /** The last entry that this incarnation registered. */
    Optional<WorkerInfo> entry() {
        return mEntry;
    }

    /** Address under which the ID was last listed, by whichever incarnation; empty if unknown. */
    String address() {
        return mAddress;
    }

    void setAddress(String address) {
        mAddress = address;
    }

    Optional<String> service() {
        return mEntry.map(WorkerInfo::service);
    }

    Optional<String> zone() {
        return mEntry.map(WorkerInfo::zone);
    }

    Optional<String> rack() {
        return mEntry.map(WorkerInfo::rack);
    }

    /** Whether both workers are known to be in the same rack. */
    boolean isInRackOf(Registration other) {
        return rack().isPresent() && rack().equals(other.rack());
    }

    /** Resources that the worker offers: none until its entry has been read. */
    Resources capacity() {
        return mEntry.map(WorkerInfo::capacity).orElse(Resources.NONE);
    }

    /** Resources that some runs leave: none until the worker's entry has been read. */
    Resources capacityLeftBy(Resources used) {
        return mEntry.map(e -> e.capacity().minus(used)).orElse(Resources.NONE);
    }

    boolean hasLabel(String label) {
        return mEntry.filter(e -> e.labels().contains(label)).isPresent();
    }

    /** Whether the worker is known to be about to shut down. */
    public boolean isDraining() {
        return mEntry.filter(WorkerInfo::draining).isPresent();
    }
}
