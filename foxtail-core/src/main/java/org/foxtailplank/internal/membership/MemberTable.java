package org.foxtailplank.internal.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.membership.Incarnation;
import org.foxtailplank.membership.Member;
import org.foxtailplank.membership.MemberState;
import org.foxtailplank.membership.NodeStatus;
import org.foxtailplank.membership.PeerIdentity;
import org.foxtailplank.membership.Seed;
import org.foxtailplank.membership.SeedSource;

/**
 * Table of known members, keyed by incarnation.
 *
 * <p>Times are nanoseconds of one monotonic clock. Not thread-safe.
 */
public final class MemberTable {

    private static final int MAX_MEMBERS = 1024;
    private static final int MAX_UNKNOWN_TAGS = 64;

    private final PeerIdentity mSelf;
    private final Map<Incarnation, TrackedMember> mMembers = new LinkedHashMap<>();
    private final Map<SeedSource, List<Seed>> mSeeds = new EnumMap<>(SeedSource.class);
    private final Set<Integer> mUnknownTags = new LinkedHashSet<>();
    private final List<Member> mPendingChanges = new ArrayList<>();
    private SilenceLimits mLimits;
    private long mGossipRound;

    public MemberTable(PeerIdentity self, SilenceLimits limits) {
        mSelf = self;
        mLimits = limits;
    }

    /** Sets the failure detection timeouts. */
    public void setSilenceLimits(SilenceLimits limits) {
        mLimits = limits;
    }

    /** Replaces the seeds of a source. */
    public void setSeeds(SeedSource source, Collection<Seed> seeds) {
        mSeeds.put(source, List.copyOf(seeds));
    }

    /**
     * Records that a peer authenticated on an outgoing connection to an address.
     *
     * <p>Any other member known at that address has been replaced and is marked as away at once, so
     * that no requests for it are sent to the wrong process.
     */
    public void authenticatedAt(PeerIdentity peer, InetSocketAddress address, long now) {
        authenticated(peer, now);
        for (TrackedMember other : mMembers.values()) {
            boolean samePeer = other.mIdentity.incarnation().equals(peer.incarnation());
            if (samePeer) {
                other.mLastAddress = address;
            } else if (other.mLastAddress.equals(address) || other.hasAddress(peer.address())) {
                other.mReplaced = true;
                setState(other, MemberState.AWAY);
            }
        }
    }

    /** Records that a peer authenticated on an incoming connection. */
    public void authenticated(PeerIdentity peer, long now) {
        if (isSelf(peer.incarnation())) {
            return;
        }
        TrackedMember member = findOrAdd(peer, now);
        if (member != null) {
            member.mReplaced = false;
            markAlive(member, now);
        }
    }

    /** Adds a peer known to another member, as suspect until a newer heartbeat is seen. */
    public void introduced(PeerIdentity peer, long now) {
        if (!isSelf(peer.incarnation())) {
            TrackedMember member = findOrAdd(peer, now - mLimits.suspectNanos());
            if (member != null) {
                setState(member, member.stateAfter(now - member.mLastHeardAt, mLimits));
            }
        }
    }

    /** Records a heartbeat or heartbeat response received directly from a member. */
    public void heartbeatReceived(Incarnation from, long sequence, long now) {
        TrackedMember member = mMembers.get(from);
        if (member != null) {
            member.mSequence = newest(member.mSequence, (short) sequence);
            markAlive(member, now);
        }
    }

    /** Updates the reported status of a member. */
    public void updateStatus(Incarnation from, NodeStatus status) {
        TrackedMember member = mMembers.get(from);
        if (member != null) {
            member.mStatus = status;
        }
    }

    /**
     * Records a gossiped digest, which counts as a sign of life only if it is newer than the last
     * known heartbeat.
     *
     * <p>Otherwise two nodes that gossip about a failed member would keep it alive forever.
     */
    public void digestReceived(HeartbeatDigest digest, long now) {
        boolean known = digest.tag() == mSelf.incarnation().tag();
        for (TrackedMember member : mMembers.values()) {
            if (member.mIdentity.incarnation().tag() == digest.tag()) {
                known = true;
                if (HeartbeatDigest.isNewer(digest.sequence(), member.mSequence)
                        && !member.mReplaced) {
                    member.mSequence = digest.sequence();
                    markAlive(member, now);
                }
            }
        }
        if (!known && mUnknownTags.size() < MAX_UNKNOWN_TAGS) {
            mUnknownTags.add(digest.tag());
        }
    }

    /** Records that a member announced its shutdown. */
    public void memberLeft(Incarnation incarnation) {
        memberLeftByTag(incarnation.tag());
    }

    /** Records a gossiped departure notice. */
    public void memberLeftByTag(int tag) {
        membersByTag(tag).forEach(member -> setState(member, MemberState.LEFT));
    }

    /** Applies the failure detection timeouts and removes members that failed long ago. */
    public void tick(long now) {
        Iterator<TrackedMember> it = mMembers.values().iterator();
        while (it.hasNext()) {
            TrackedMember member = it.next();
            long silence = now - member.mLastHeardAt;
            setState(member, member.stateAfter(silence, mLimits));
            if (silence >= mLimits.forgetNanos()) {
                it.remove();
            }
        }
    }

    /** Returns and clears the members whose state changed since the last call. */
    public List<Member> drainChanges() {
        List<Member> changes = List.copyOf(mPendingChanges);
        mPendingChanges.clear();
        return changes;
    }

    /** Returns digests to gossip, least recently sent first. */
    public List<HeartbeatDigest> nextDigests(int limit) {
        mGossipRound++;
        List<TrackedMember> selected =
                mMembers.values().stream()
                        .filter(m -> m.mState == MemberState.ALIVE)
                        .sorted(Comparator.comparingLong(m -> m.mLastGossipRound))
                        .limit(limit)
                        .toList();
        selected.forEach(member -> member.mLastGossipRound = mGossipRound);
        return selected.stream()
                .map(m -> new HeartbeatDigest(m.mIdentity.incarnation().tag(), m.mSequence))
                .toList();
    }

    /** Returns tags of departed members to gossip; each tag is sent a limited number of times. */
    public List<Integer> nextDepartures(int limit) {
        List<TrackedMember> selected =
                mMembers.values().stream()
                        .filter(m -> m.mState == MemberState.LEFT && m.mDepartureNotices > 0)
                        .limit(limit)
                        .toList();
        selected.forEach(m -> m.mDepartureNotices--);
        return selected.stream().map(m -> m.mIdentity.incarnation().tag()).toList();
    }

    /** Returns and clears the tags in received digests that match no known member. */
    public List<Integer> drainUnknownTags() {
        List<Integer> unknown = List.copyOf(mUnknownTags);
        mUnknownTags.clear();
        return unknown;
    }

    /** Returns the identities of live members with the given tags. */
    public List<PeerIdentity> identitiesOf(Collection<Integer> tags) {
        return tags.stream()
                .flatMap(this::membersByTag)
                .filter(m -> m.mState == MemberState.ALIVE)
                .map(m -> m.mIdentity)
                .toList();
    }

    /**
     * Returns the addresses to maintain connections to.
     *
     * <p>Addresses from the settings and the platform take precedence; other nodes are reached at
     * the address that they advertise.
     */
    public Set<InetSocketAddress> addresses() {
        Set<InetSocketAddress> addresses = new LinkedHashSet<>();
        Set<NodeId> seeded = new HashSet<>();
        seeded.add(mSelf.node());
        for (List<Seed> seeds : mSeeds.values()) {
            for (Seed seed : seeds) {
                if (!seed.node().equals(mSelf.node())) {
                    addresses.add(seed.address());
                }
                seeded.add(seed.node());
            }
        }
        for (TrackedMember member : mMembers.values()) {
            if (!seeded.contains(member.mIdentity.node()) && member.mayOwnAddress()) {
                addresses.add(member.mIdentity.address());
            }
        }
        return addresses;
    }

    /** Returns the member with a node id, preferring the most available and recent incarnation. */
    public Optional<Member> find(NodeId node) {
        return mMembers.values().stream()
                .filter(m -> m.mIdentity.node().equals(node))
                .max(
                        Comparator.<TrackedMember, MemberState>comparing(m -> m.mState)
                                .reversed()
                                .thenComparingLong(m -> m.mLastHeardAt))
                .map(TrackedMember::toMember);
    }

    /** Returns the member with an incarnation. */
    public Optional<Member> find(Incarnation incarnation) {
        return Optional.ofNullable(mMembers.get(incarnation)).map(TrackedMember::toMember);
    }

    /** Returns all known members except this node. */
    public List<Member> members() {
        return mMembers.values().stream().map(TrackedMember::toMember).toList();
    }

    private TrackedMember findOrAdd(PeerIdentity peer, long now) {
        TrackedMember known = mMembers.get(peer.incarnation());
        if (known != null || mMembers.size() >= MAX_MEMBERS) {
            return known;
        }
        TrackedMember member = new TrackedMember(peer, now);
        mMembers.put(peer.incarnation(), member);
        mPendingChanges.add(member.toMember());
        return member;
    }

    private void markAlive(TrackedMember member, long now) {
        member.mLastHeardAt = now;
        if (member.mState != MemberState.LEFT) {
            setState(member, MemberState.ALIVE);
        }
    }

    private void setState(TrackedMember member, MemberState state) {
        if (member.mState != state) {
            member.mState = state;
            mPendingChanges.add(member.toMember());
        }
    }

    private Stream<TrackedMember> membersByTag(int tag) {
        return mMembers.values().stream().filter(m -> m.mIdentity.incarnation().tag() == tag);
    }

    private static short newest(short a, short b) {
        return HeartbeatDigest.isNewer(b, a) ? b : a;
    }

    private boolean isSelf(Incarnation incarnation) {
        return incarnation.equals(mSelf.incarnation());
    }
}
