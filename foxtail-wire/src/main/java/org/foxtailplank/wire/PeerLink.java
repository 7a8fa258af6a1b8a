package org.foxtailplank.wire;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.membership.LoadSummary;
import org.foxtailplank.membership.Member;
import org.foxtailplank.membership.PeerIdentity;
import org.foxtailplank.membership.Seed;
import org.foxtailplank.membership.SeedSource;
import org.foxtailplank.state.StatePosition;
import org.foxtailplank.wire.internal.peer.PeerNode;

/** A node's link to the other processes of the system: membership and messages. */
public interface PeerLink extends AutoCloseable {

    /** Starts to take peers' connections; peers are met once some are learned. */
    static PeerLink start(PeerLinkOptions options) throws PeerLinkException {
        return PeerNode.start(options);
    }

    /** Who this node is to its peers, with the address it takes connections on. */
    PeerIdentity self();

    /** Takes a new list of places to meet peers in place of the last one from its source. */
    void learn(SeedSource source, Collection<Seed> seeds);

    /** How far this node has followed the log, for its heartbeats. */
    void report(StatePosition position);

    /** The configuration in force here, for its heartbeats; a newer version is told at once. */
    void reportConfiguration(long version);

    /** What this node has in flight, for its heartbeats. */
    void report(LoadSummary load);

    /** Sends a message without an answer; false when it certainly did not leave. */
    CompletionStage<Boolean> send(NodeId to, PeerMessage message);

    /** Sends a message and waits for its answer; fails with a {@link PeerException}. */
    CompletionStage<PeerMessage> ask(NodeId to, PeerMessage message, Duration timeout);

    /** Answers a kind of message from now on. */
    <T extends PeerMessage> void handle(Class<T> kind, PeerHandler<T> handler);

    /** The other processes, as last seen. */
    List<Member> members();

    /** The process that now goes by a name. */
    Optional<Member> member(NodeId node);

    /** Calls back on the link's thread whenever the state of a member changes. */
    void onChange(Consumer<Member> listener);

    /** Calls back on the link's thread after each heartbeat of a member. */
    void onHeartbeat(Consumer<Member> listener);

    /** Runs work on the link's thread; after the link is closed it is dropped. */
    void execute(Runnable work);

    /** Runs work on the link's thread again and again. */
    void every(Duration time, Runnable work);

    /** What was counted since the start. */
    PeerCounts counts();

    /** Tells the peers that this node leaves, and closes all connections. */
    @Override
    void close();
}
