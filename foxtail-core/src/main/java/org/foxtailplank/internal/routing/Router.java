package org.foxtailplank.internal.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.request.BackendServer;

/**
 * Selects instances by the power of two random choices. Prefers the entry's own zone, unless an
 * instance in another zone is sufficiently cheaper in spite of the cross-zone latency.
 *
 * <p>Not thread-safe.
 */
public final class Router {

    /** Cost ratio required for cross-zone routing, so that noise doesn't trigger it. */
    private static final double SPILL_FACTOR = 1.5;

    private final ZoneId mZone;
    private final double mCrossZonePenalty;
    private final RandomGenerator mRandom;
    private final Map<ServiceId, Service> mServices = new HashMap<>();
    private final Map<VmId, Target> mTargets = new HashMap<>();

    /**
     * Creates a router without instances.
     *
     * @param zone the entry's zone
     * @param crossZonePenalty round-trip time to another zone, in nanoseconds
     * @param random random number generator for the selection
     */
    public Router(ZoneId zone, long crossZonePenalty, RandomGenerator random) {
        mZone = zone;
        mCrossZonePenalty = crossZonePenalty;
        mRandom = random;
    }

    /** Replaces the list of instances; removed instances receive no new requests. */
    public void updateInstances(
            Collection<BackendServer> servers, Function<BackendServer, ConnectionShare> shares) {
        Map<VmId, BackendServer> listed = new HashMap<>();
        servers.forEach(s -> listed.put(s.vm(), s));
        mTargets.values().removeIf(t -> removeIfChanged(t, listed.get(t.server().vm())));
        for (BackendServer s : listed.values()) {
            boolean sameZone = s.zone().equals(mZone);
            ConnectionShare share = shares.apply(s);
            int limit = sameZone ? share.sameZone() : share.otherZone();
            mTargets.computeIfAbsent(s.vm(), vm -> add(s, sameZone, limit))
                    .updateListing(true, limit);
        }
    }

    /** Selects an available instance that hasn't been tried. */
    public Optional<Target> choose(ServiceId service, Set<VmId> tried) {
        Service s = mServices.get(service);
        if (s == null) {
            return Optional.empty();
        }
        Target sameZone = s.mSameZone.choose(tried, mRandom);
        Target otherZone = s.mOtherZone.choose(tried, mRandom);
        if (sameZone == null && otherZone == null) {
            return chooseFallback(s, tried);
        }
        if (sameZone == null || otherZone == null) {
            return Optional.of(sameZone == null ? otherZone : sameZone);
        }
        boolean spills = sameZone.cost() > SPILL_FACTOR * (otherZone.cost() + mCrossZonePenalty);
        return Optional.of(spills ? otherZone : sameZone);
    }

    /**
     * Selects any instance that isn't draining if no instance is healthy, because the fault may be
     * in this entry, such as a pause or delayed health checks.
     */
    private Optional<Target> chooseFallback(Service s, Set<VmId> tried) {
        if (s.mTargets.stream().anyMatch(Target::isHealthy)) {
            return Optional.empty();
        }
        List<Target> candidates =
                s.mTargets.stream()
                        .filter(t -> t.isFallbackCandidate() && !tried.contains(t.server().vm()))
                        .toList();
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(mRandom.nextInt(candidates.size())));
    }

    /** Returns whether any listed instance of a service isn't draining. */
    public boolean hasServingInstance(ServiceId service) {
        Service s = mServices.get(service);
        return s != null && s.mTargets.stream().anyMatch(t -> !t.isLeaving());
    }

    /** Returns the listed instances. */
    public Collection<Target> targets() {
        return Collections.unmodifiableCollection(mTargets.values());
    }

    /** Allows a trial request to each instance whose ejection time is over. */
    public void endDueEjections(long now) {
        mTargets.values().forEach(t -> t.endDueEjection(now));
    }

    private Target add(BackendServer server, boolean sameZone, int limit) {
        Service s = mServices.computeIfAbsent(server.service(), id -> new Service());
        Target t =
                new Target(
                        server, sameZone, limit, sameZone ? s.mSameZone : s.mOtherZone, s.mLatency);
        s.mTargets.add(t);
        return t;
    }

    private boolean removeIfChanged(Target target, BackendServer updated) {
        if (target.server().equals(updated)) {
            return false;
        }
        target.updateListing(false, target.limit());
        mServices.get(target.server().service()).mTargets.remove(target);
        return true;
    }

    /** The instances of one service. */
    private static final class Service {
        private final Candidates mSameZone = new Candidates();
        private final Candidates mOtherZone = new Candidates();
        private final MeanLatency mLatency = new MeanLatency();
        private final List<Target> mTargets = new ArrayList<>();
    }
}
