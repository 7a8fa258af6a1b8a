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

/** Membership and messaging between the processes of the system. */
public interface PeerLink extends AutoCloseable {

    /** Starts to accept connections; connects to peers once seeds are given. */
    static PeerLink start(PeerLinkOptions options) throws PeerLinkException {
        return PeerNode.start(options);
    }

    /** Returns the identity of this node, including the address it accepts connections on. */
    PeerIdentity self();

    /** Replaces the seeds of a source. */
    void setSeeds(SeedSource source, Collection<Seed> seeds);

    /** Sets the log position that heartbeats carry. */
    void report(StatePosition position);

    /** Sets the configuration version that heartbeats carry; a newer one is sent immediately. */
    void reportConfiguration(long version);

    /** Sets the load that heartbeats carry. */
    void report(LoadSummary load);

    /** Sends a message without expecting an answer; false if it was definitely not sent. */
    CompletionStage<Boolean> send(NodeId to, PeerMessage message);

    /** Sends a message and returns its answer; the stage fails with a {@link PeerException}. */
    CompletionStage<PeerMessage> ask(NodeId to, PeerMessage message, Duration timeout);

    /** Registers the handler of a kind of message. */
    <T extends PeerMessage> void handle(Class<T> kind, PeerHandler<T> handler);

    /** Returns the last known state of all other processes. */
    List<Member> members();

    /** Returns the current process of a node. */
    Optional<Member> member(NodeId node);

    /** Registers a listener for member state changes, called on the link's thread. */
    void onChange(Consumer<Member> listener);

    /** Registers a listener for member heartbeats, called on the link's thread. */
    void onHeartbeat(Consumer<Member> listener);

    /** Runs a task on the link's thread; ignored once the link is closed. */
    void execute(Runnable task);

    /** Runs a task on the link's thread at a fixed rate. */
    void every(Duration interval, Runnable task);

    /** Returns the counters since the start. */
    PeerCounts counts();

    /** Announces the departure of this node to its peers and closes all connections. */
    @Override
    void close();
}
