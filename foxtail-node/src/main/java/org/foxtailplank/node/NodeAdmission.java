package org.foxtailplank.node;

import java.util.Optional;
import java.util.function.Supplier;
import org.foxtailplank.admission.AdmissionSettings;
import org.foxtailplank.admission.RefusalRegister;
import org.foxtailplank.admission.TypicalObjectives;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.node.admission.GuardedHandover;
import org.foxtailplank.node.admission.KnownCapacity;
import org.foxtailplank.node.caller.AdmissionGate;
import org.foxtailplank.node.journal.Handover;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.node.owner.OwnerSession;
import org.foxtailplank.node.peer.CapacityFollower;
import org.foxtailplank.node.peer.CapacityReporter;
import org.foxtailplank.node.peer.JobQueries;

/** Assembles the admission of a node, as a follower and as the owner. */
final class NodeAdmission {
    private final Supplier<AdmissionSettings> mSettings;
    private final Clock mClock;
    private final KnownCapacity mKnown = new KnownCapacity();
    private final CapacityReporter mReporter = new CapacityReporter(mKnown);
    private final TypicalObjectives mObjectives = new TypicalObjectives();
    private Optional<RefusalRegister> mRegister = Optional.empty();

    /**
     * Creates the admission.
     *
     * @param settings returns the settings in force
     */
    NodeAdmission(Supplier<AdmissionSettings> settings, Clock clock) {
        mSettings = settings;
        mClock = clock;
    }

    /** Returns the reporter for the stream to followers. */
    CapacityReporter reporter() {
        return mReporter;
    }

    CapacityFollower follower() {
        return new CapacityFollower(mKnown, this::isOn);
    }

    AdmissionGate gate(JobQueries owner, NodeLog log, NodeMetrics metrics) {
        return new AdmissionGate(mKnown, mSettings, owner, mClock, log, metrics);
    }

    /** Returns the owner's handover that doesn't store refused jobs. */
    Handover guard(Handover owner) {
        return new GuardedHandover(
                owner,
                job -> mRegister.map(r -> r.tryStore(job, mClock.nowMs())).orElse(true),
                this::isOn);
    }

    /** Whether the owner agrees that a job is refused, which it doesn't know. */
    boolean tryRefuse(String job) {
        return mRegister.map(r -> r.tryRefuse(job, mClock.nowMs())).orElse(false);
    }

    void ownershipAcquired(OwnerSession owner) {
        mReporter.setSource(owner.capacities(mSettings, mObjectives));
        mRegister = Optional.of(new RefusalRegister(mClock.nowMs()));
    }

    void recordApplied(JournalRecord record) {
        if (isOn() && record instanceof JobAccepted accepted) {
            mObjectives.record(accepted.definition());
            mKnown.known(accepted.definition().id(), mClock.nowMs());
        }
    }

    private boolean isOn() {
        return mSettings.get().isOn();
    }
}
