package org.foxtailplank.node.peer;

import java.net.InetSocketAddress;
import java.util.Optional;

/** What a node learns of the owner beside the journal. */
public interface OwnerSigns {
    /**
     * The owner that the journal names.
     *
     * @param token its fencing token
     * @param address where its stream is
     */
    record KnownOwner(long token, InetSocketAddress address) {}

    /** The journal names this owner; empty if this node itself owns. */
    void owner(Optional<KnownOwner> owner);

    /** What is known of the owner with this token. */
    OwnerState state(long token);

    /**
     * Whether the process at the address of the owner with this token says that it doesn't own, and
     * that no call of its own to the VM service is under way. It is that owner, or has taken its
     * process's place: calls of a process that has ended are reset with its connections.
     */
    boolean areCallsOver(long token);

    /** When the store last took a record of the owner's, as the owner says. */
    long storingMs();

    /** Runs this each time an owner is found to be refused or gone. */
    void whenDoubtful(Runnable listener);

    /** Looks whether the owner has fallen silent; called again and again. */
    void check();
}
