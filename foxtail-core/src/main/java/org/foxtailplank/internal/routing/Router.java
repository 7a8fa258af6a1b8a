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
 * Chooses instances: the cheaper of two drawn at random in the entry's own zone, or one of another
 * zone when that is cheaper by more than the way there costs.
 *
 * <p>Not safe for use by several threads.
 */
public final class Router {

    /** A far instance must be this much cheaper, so that noise does not send requests away. */
    private static final double SPILL_FACTOR = 1.5;

    private final ZoneId mZone;
    private final double mFarPenalty;
    private final RandomGenerator mRandom;
    private final Map<ServiceId, Service> mServices = new HashMap<>();
    private final Map<VmId, Target> mTargets = new HashMap<>();

    /**
     * Starts with no instances.
     *
     * @param zone the entry's zone
     * @param farPenalty time to another zone and back, in nanoseconds
     * @param random source of the draws
     */
    public Router(ZoneId zone, long farPenalty, RandomGenerator random) {
        mZone = zone;
        mFarPenalty = farPenalty;
        mRandom = random;
    }

    /** Takes over a new list of instances; those that are no longer on it get nothing new. */
    public void list(
            Collection<BackendServer> servers, Function<BackendServer, ConnectionShare> shares) {
        Map<VmId, BackendServer> listed = new HashMap<>();
        servers.forEach(s -> listed.put(s.vm(), s));
        mTargets.values().removeIf(t -> leaves(t, listed.get(t.server().vm())));
        for (BackendServer s : listed.values()) {
            boolean near = s.zone().equals(mZone);
            ConnectionShare share = shares.apply(s);
            int limit = near ? share.near() : share.far();
            mTargets.computeIfAbsent(s.vm(), vm -> add(s, near, limit)).list(true, limit);
        }
    }

    /** Chooses an instance that was not tried yet and has room. */
    public Optional<Target> choose(ServiceId service, Set<VmId> tried) {
        Service s = mServices.get(service);
        if (s == null) {
            return Optional.empty();
        }
        Target near = s.mNear.draw(tried, mRandom);
        Target far = s.mFar.draw(tried, mRandom);
        if (near == null && far == null) {
            return lastResort(s, tried);
        }
        if (near == null || far == null) {
            return Optional.of(near == null ? far : near);
        }
        boolean spills = near.cost() > SPILL_FACTOR * (far.cost() + mFarPenalty);
        return Optional.of(spills ? far : near);
    }

    /**
     * Where every instance looks silent or ejected, the fault may be this entry's own (it was
     * paused, or its probes came too late), so requests go on to one that doesn't say it leaves.
     */
    private Optional<Target> lastResort(Service s, Set<VmId> tried) {
        if (s.mTargets.stream().anyMatch(Target::healthy)) {
            return Optional.empty();
        }
        List<Target> left =
                s.mTargets.stream()
                        .filter(t -> t.mayBeAsked() && !tried.contains(t.server().vm()))
                        .toList();
        return left.isEmpty()
                ? Optional.empty()
                : Optional.of(left.get(mRandom.nextInt(left.size())));
    }

    /** Whether any instance of a service is listed and doesn't say that it leaves. */
    public boolean serves(ServiceId service) {
        Service s = mServices.get(service);
        return s != null && s.mTargets.stream().anyMatch(t -> !t.leaving());
    }

    /** The instances that are listed, with those that still finish something. */
    public Collection<Target> targets() {
        return Collections.unmodifiableCollection(mTargets.values());
    }

    /** Lets ejected instances have a trial when their time has come. */
    public void wake(long now) {
        mTargets.values().forEach(t -> t.wake(now));
    }

    private Target add(BackendServer server, boolean near, int limit) {
        Service s = mServices.computeIfAbsent(server.service(), id -> new Service());
        Target t = new Target(server, near, limit, near ? s.mNear : s.mFar, s.mLatency);
        s.mTargets.add(t);
        return t;
    }

    private boolean leaves(Target target, BackendServer now) {
        if (target.server().equals(now)) {
            return false;
        }
        target.list(false, target.limit());
        mServices.get(target.server().service()).mTargets.remove(target);
        return true;
    }

    /** The instances of one service. */
    private static final class Service {
        private final Candidates mNear = new Candidates();
        private final Candidates mFar = new Candidates();
        private final MeanLatency mLatency = new MeanLatency();
        private final List<Target> mTargets = new ArrayList<>();
    }
}
