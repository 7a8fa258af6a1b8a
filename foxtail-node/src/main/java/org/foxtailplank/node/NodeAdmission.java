package org.foxtailplank.node;

import java.util.Optional;
import java.util.function.Supplier;
import org.foxtailplank.admission.AdmissionSettings;
import org.foxtailplank.admission.RefusalRegister;
import org.foxtailplank.admission.TypicalObjectives;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.node.admission.CapacitySource;
import org.foxtailplank.node.admission.GuardedHandover;
import org.foxtailplank.node.admission.KnownCapacity;
import org.foxtailplank.node.caller.AdmissionGate;
import org.foxtailplank.node.caller.CallerService;
import org.foxtailplank.node.journal.Handover;
import org.foxtailplank.node.journal.JournalReader;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.node.owner.OwnerSession;
import org.foxtailplank.node.peer.CapacityFollower;
import org.foxtailplank.node.peer.CapacityReporter;
import org.foxtailplank.node.peer.JobQueries;

/** Assembles the admission of a node, as a follower and as the owner. */
final class NodeAdmission {
    private final Supplier<AdmissionSettings> mSettings;
    private final JournalReader mReader;
    private final Clock mClock;
    private final KnownCapacity mKnown = new KnownCapacity();
    private final CapacityReporter mReporter;
    private final TypicalObjectives mObjectives = new TypicalObjectives();
    private Optional<RefusalRegister> mRegister = Optional.empty();
    private Optional<OwnerSession> mOwner = Optional.empty();

    /**
     * Creates the admission.
     *
     * @param settings returns the settings in force
     */
    NodeAdmission(
            Supplier<AdmissionSettings> settings, JournalReader reader, Clock clock, NodeLog log) {
        mReporter = new CapacityReporter(mKnown, log);
        mSettings = settings;
        mReader = reader;
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
        return new GuardedHandover(owner, () -> mRegister, mClock, this::isOn);
    }

    /**
     * Whether the owner agrees that a job is refused, which it doesn't know.
     *
     * @param keepMs time for which the job isn't stored then, in milliseconds
     */
    boolean tryRefuse(String job, int keepMs) {
        long now = mClock.nowMs();
        recordHealth(now);
        return mRegister.map(r -> r.tryRefuse(job, keepMs, now)).orElse(false);
    }

    void ownershipAcquired(OwnerSession owner) {
        mOwner = Optional.of(owner);
        mRegister = Optional.of(new RefusalRegister());
        CapacitySource source = owner.capacities(mSettings, mObjectives);
        // The owner measures with each heartbeat, which is often enough to sample its health.
        mReporter.setSource(
                nowMs -> {
                    recordHealth(nowMs);
                    return source.measure(nowMs);
                });
    }

    private void recordHealth(long nowMs) {
        mRegister.ifPresent(
                r -> r.recordHealth(isOn() && mOwner.map(this::isHealthy).orElse(false), nowMs));
    }

    /** Whether an owner stores records and has recently read the journal to its end. */
    private boolean isHealthy(OwnerSession owner) {
        long readAgeMs = mClock.nowMs() - mReader.completeMs();
        return owner.isLoaded()
                && Handover.canStore(owner.storedMsAgo(), mReader.latencyMs())
                && readAgeMs < CallerService.MAX_PENDING_AGE_MS;
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
