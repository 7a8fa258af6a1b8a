package org.foxtailplank.node.peer;

import java.net.InetSocketAddress;
import java.util.Optional;

/** Monitors the owner over the peer connection, in addition to its records in the journal. */
public interface OwnerMonitor {
    /**
     * An owner found in the journal.
     *
     * @param token its fencing token
     * @param address peer address at which it streams the journal
     */
    record KnownOwner(long token, InetSocketAddress address) {}

    /** Sets the owner to monitor; empty if this node itself owns. */
    void setOwner(Optional<KnownOwner> owner);

    /** Returns the state of the owner with this token. */
    OwnerState state(long token);

    /**
     * Returns whether the process at the address of the owner with this token reports that it
     * doesn't own and has no call to the VM service in flight. It may be a new process there: the
     * calls of the previous one were reset with its connections when it ended.
     *
     * @param sinceMs when the report must have arrived, or later: a process that is about to own
     *     reports the same
     */
    boolean areVmCallsFinished(long token, long sinceMs);

    /** Returns when the store last accepted a record of the owner, according to the owner. */
    long lastStoredMs();

    /** Sets the listener for owners that turn out to be refused or gone. */
    void onOwnerUnavailable(Runnable listener);

    /** Checks whether the owner has become silent; called periodically. */
    void checkSilence();
}
