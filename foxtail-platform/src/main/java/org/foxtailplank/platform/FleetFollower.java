package org.foxtailplank.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.platform.internal.fleet.FollowedFleetLog;
import org.foxtailplank.state.StatePosition;

/** A fleet log that runs until it is closed, and exchanges its state with peers. */
public interface FleetFollower extends FleetLog, AutoCloseable {
    /** Starts to follow the platform's log. */
    static FleetFollower start(PlatformLog log, FollowOptions options) {
        return FollowedFleetLog.start(log, options);
    }

    /** What it is doing. */
    FollowMode mode();

    /** How far it has followed the log; heartbeats carry this. */
    StatePosition position();

    /** The whole state for a peer that knows less; empty while parts of it are not understood. */
    CompletionStage<Optional<byte[]>> encodedState();

    /**
     * Takes the state of a peer if it knows more and does not contradict what is known here.
     *
     * @return whether it was taken
     */
    CompletionStage<Boolean> offerState(byte[] encoded);

    /**
     * The entries of the log that follow on a position, for a peer that is a little behind; empty
     * where they are not at hand, and {@link #encodedState()} is needed.
     */
    CompletionStage<List<StoredEntry>> entriesAfter(StatePosition position, int maxBytes);

    /**
     * Takes entries that a peer has read from the log and that follow on a position.
     *
     * @return whether they were taken
     */
    CompletionStage<Boolean> offerEntries(StatePosition position, List<StoredEntry> entries);

    @Override
    void close();
}
