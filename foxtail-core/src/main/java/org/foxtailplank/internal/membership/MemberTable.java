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
 * The members that a node knows, kept by incarnation.
 *
 * <p>Times are nanoseconds of one monotonic clock. Not thread-safe.
 */
public final class MemberTable {

    private static final int MAX_MEMBERS = 1024;
    private static final int MAX_STRANGERS = 64;

    private final PeerIdentity mSelf;
    private final Map<Incarnation, TrackedMember> mMembers = new LinkedHashMap<>();
    private final Map<SeedSource, List<Seed>> mSeeds = new EnumMap<>(SeedSource.class);
    private final Set<Integer> mStrangers = new LinkedHashSet<>();
    private final List<Member> mChanged = new ArrayList<>();
    private SilenceLimits mLimits;
    private long mTurn;

    public MemberTable(PeerIdentity self, SilenceLimits limits) {
        mSelf = self;
        mLimits = limits;
    }

    /** From now on members may be silent for so long. */
    public void allow(SilenceLimits limits) {
        mLimits = limits;
    }

    /** Takes a new list of places to meet peers in place of the last one from its source. */
    public void learn(SeedSource source, Collection<Seed> seeds) {
        mSeeds.put(source, List.copyOf(seeds));
    }

    /**
     * A peer has proved its identity on a connection that this node made to its address.
     *
     * <p>Guards against a replaced VM: the predecessor at that address would otherwise count as
     * alive until its silence ran out, and asks would go to the wrong process. Only one process can
     * hold an address, so whoever answers there has replaced all others.
     */
    public void reached(PeerIdentity peer, InetSocketAddress at, long now) {
        met(peer, now);
        for (TrackedMember other : mMembers.values()) {
            boolean same = other.mIdentity.incarnation().equals(peer.incarnation());
            if (same) {
                other.mReachedAt = at;
            } else if (other.mReachedAt.equals(at) || other.isAt(peer.address())) {
                other.mReplaced = true;
                change(other, MemberState.AWAY);
            }
        }
    }

    /** A peer has proved its identity on a connection that it made. */
    public void met(PeerIdentity peer, long now) {
        if (isSelf(peer.incarnation())) {
            return;
        }
        TrackedMember member = track(peer, now);
        if (member != null) {
            member.mReplaced = false;
            alive(member, now);
        }
    }

    /** Another member knows this one; it counts as alive only when there is news of it. */
    public void introduced(PeerIdentity peer, long now) {
        if (!isSelf(peer.incarnation())) {
            TrackedMember member = track(peer, now - mLimits.suspectNanos());
            if (member != null) {
                change(member, member.stateAfter(now - member.mHeardAt, mLimits));
            }
        }
    }

    /** A member's own heartbeat, or its answer to one, has arrived from it. */
    public void heard(Incarnation from, long beat, long now) {
        TrackedMember member = mMembers.get(from);
        if (member != null) {
            member.mBeat = newest(member.mBeat, (short) beat);
            alive(member, now);
        }
    }

    /** A member says how it is. */
    public void status(Incarnation from, NodeStatus status) {
        TrackedMember member = mMembers.get(from);
        if (member != null) {
            member.mStatus = status;
        }
    }

    /**
     * Another member tells of a heartbeat; it counts only when it is newer than the newest known.
     *
     * <p>Guards against old news that goes round: two nodes that tell each other of a dead one
     * would keep it alive for ever if a beat that is already known counted again.
     */
    public void told(BeatNews news, long now) {
        boolean known = news.tag() == mSelf.incarnation().tag();
        for (TrackedMember member : mMembers.values()) {
            if (member.mIdentity.incarnation().tag() == news.tag()) {
                known = true;
                if (BeatNews.isNewer(news.beat(), member.mBeat) && !member.mReplaced) {
                    member.mBeat = news.beat();
                    alive(member, now);
                }
            }
        }
        if (!known && mStrangers.size() < MAX_STRANGERS) {
            mStrangers.add(news.tag());
        }
    }

    /** A member has said that it leaves. */
    public void left(Incarnation incarnation) {
        leftByTag(incarnation.tag());
    }

    /** Another member tells that one has left. */
    public void leftByTag(int tag) {
        tracked(tag).forEach(member -> change(member, MemberState.LEFT));
    }

    /** Lets silence take its effect and forgets members that are long gone. */
    public void tick(long now) {
        Iterator<TrackedMember> all = mMembers.values().iterator();
        while (all.hasNext()) {
            TrackedMember member = all.next();
            long silence = now - member.mHeardAt;
            change(member, member.stateAfter(silence, mLimits));
            if (silence >= mLimits.forgetNanos()) {
                all.remove();
            }
        }
    }

    /** The members whose state has changed since the last call. */
    public List<Member> takeChanges() {
        List<Member> changes = List.copyOf(mChanged);
        mChanged.clear();
        return changes;
    }

    /** Heartbeats to tell on, longest untold first. */
    public List<BeatNews> news(int limit) {
        mTurn++;
        List<TrackedMember> told =
                mMembers.values().stream()
                        .filter(m -> m.mState == MemberState.ALIVE)
                        .sorted(Comparator.comparingLong(m -> m.mToldTurn))
                        .limit(limit)
                        .toList();
        told.forEach(member -> member.mToldTurn = mTurn);
        return told.stream()
                .map(m -> new BeatNews(m.mIdentity.incarnation().tag(), m.mBeat))
                .toList();
    }

    /** Tags of members that have left, each told on a few times. */
    public List<Integer> farewells(int limit) {
        List<TrackedMember> told =
                mMembers.values().stream()
                        .filter(m -> m.mState == MemberState.LEFT && m.mFarewells > 0)
                        .limit(limit)
                        .toList();
        told.forEach(m -> m.mFarewells--);
        return told.stream().map(m -> m.mIdentity.incarnation().tag()).toList();
    }

    /** Tags that others speak of and this node does not know; empties the list. */
    public List<Integer> takeStrangers() {
        List<Integer> strangers = List.copyOf(mStrangers);
        mStrangers.clear();
        return strangers;
    }

    /** Who these are, as far as they are known and alive. */
    public List<PeerIdentity> introduce(Collection<Integer> tags) {
        return tags.stream()
                .flatMap(this::tracked)
                .filter(m -> m.mState == MemberState.ALIVE)
                .map(m -> m.mIdentity)
                .toList();
    }

    /**
     * Addresses that this node keeps a connection to, or tries to.
     *
     * <p>The settings and the platform say where a node is reached from here; a node that they do
     * not name is reached at the address that it states itself.
     */
    public Set<InetSocketAddress> addresses() {
        Set<InetSocketAddress> addresses = new LinkedHashSet<>();
        Set<NodeId> named = new HashSet<>();
        named.add(mSelf.node());
        for (List<Seed> seeds : mSeeds.values()) {
            for (Seed seed : seeds) {
                if (!seed.node().equals(mSelf.node())) {
                    addresses.add(seed.address());
                }
                named.add(seed.node());
            }
        }
        for (TrackedMember member : mMembers.values()) {
            if (!named.contains(member.mIdentity.node()) && member.mayHoldItsAddress()) {
                addresses.add(member.mIdentity.address());
            }
        }
        return addresses;
    }

    /** The member that now goes by a name; of several, one that is there. */
    public Optional<Member> find(NodeId node) {
        return mMembers.values().stream()
                .filter(m -> m.mIdentity.node().equals(node))
                .max(
                        Comparator.<TrackedMember, MemberState>comparing(m -> m.mState)
                                .reversed()
                                .thenComparingLong(m -> m.mHeardAt))
                .map(TrackedMember::view);
    }

    /** The member of that incarnation. */
    public Optional<Member> find(Incarnation incarnation) {
        return Optional.ofNullable(mMembers.get(incarnation)).map(TrackedMember::view);
    }

    /** All members that are known, without this node. */
    public List<Member> members() {
        return mMembers.values().stream().map(TrackedMember::view).toList();
    }

    private TrackedMember track(PeerIdentity peer, long now) {
        TrackedMember known = mMembers.get(peer.incarnation());
        if (known != null || mMembers.size() >= MAX_MEMBERS) {
            return known;
        }
        TrackedMember member = new TrackedMember(peer, now);
        mMembers.put(peer.incarnation(), member);
        mChanged.add(member.view());
        return member;
    }

    private void alive(TrackedMember member, long now) {
        member.mHeardAt = now;
        if (member.mState != MemberState.LEFT) {
            change(member, MemberState.ALIVE);
        }
    }

    private void change(TrackedMember member, MemberState state) {
        if (member.mState != state) {
            member.mState = state;
            mChanged.add(member.view());
        }
    }

    private Stream<TrackedMember> tracked(int tag) {
        return mMembers.values().stream().filter(m -> m.mIdentity.incarnation().tag() == tag);
    }

    private static short newest(short a, short b) {
        return BeatNews.isNewer(b, a) ? b : a;
    }

    private boolean isSelf(Incarnation incarnation) {
        return incarnation.equals(mSelf.incarnation());
    }
}
