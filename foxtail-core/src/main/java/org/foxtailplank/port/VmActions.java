package org.foxtailplank.port;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.fleet.Resources;

/** What the platform lets us do with VMs. */
public interface VmActions {

    /** Lists all VMs. */
    void list(Consumer<Optional<List<VmInfo>>> then);

    /**
     * Moves a VM to another pool; all that runs on it ends at once. The call is not sent without
     * its holder's permit, and broken off when that ends.
     */
    void move(String vm, String pool, Holder holder, Consumer<VmOutcome> then);

    /** Reboots a VM for a wave; all that runs on it ends at once. The permit holds as for moves. */
    void reboot(String vm, long wave, Holder holder, Consumer<VmOutcome> then);

    /**
     * Who gives an order.
     *
     * @param node name of the node
     * @param token its fencing token
     * @param permit how long its calls may be under way
     */
    record Holder(String node, long token, CallPermit permit) {}

    /** How long calls may be under way; asked just before a call is sent. */
    @FunctionalInterface
    interface CallPermit {
        /** For calls that anybody may make at any time. */
        CallPermit UNLIMITED = () -> Long.MAX_VALUE;

        /** Milliseconds from now until a call must be broken off; 0 for no call. */
        long leftMs();
    }

    /**
     * A VM.
     *
     * @param id its name, which stays over moves and reboots
     * @param pool pool that it belongs to
     * @param phase what it is doing
     * @param worker life of its worker; empty while it has none
     * @param capacity what its worker offers
     */
    record VmInfo(String id, String pool, VmPhase phase, String worker, Resources capacity) {

        /** An entry of the list that can't be read; its VM's name may be known, or empty. */
        public static VmInfo unreadable(String id) {
            return new VmInfo(id, "", VmPhase.UNREADABLE, "", Resources.NONE);
        }

        /** Whether the entry tells what its VM does; if not, the VM may be up with any life. */
        public boolean isReadable() {
            return phase != VmPhase.UNREADABLE;
        }
    }

    /** What a VM is doing. */
    enum VmPhase {
        UP,
        MOVING,
        REBOOTING,
        DOWN,
        /** The list's entry can't be read: another writer's, or of a state that isn't known. */
        UNREADABLE
    }

    /** What came of an action. */
    enum VmOutcome {
        DONE,
        /** A higher fencing token was used on this VM. */
        FENCED,
        /** The VM is not up, or is leaving. */
        BUSY,
        /** The VM is not part of the wave. */
        NOT_OF_WAVE,
        /** There is no such VM or pool. */
        INVALID,
        /** Nothing was done; it may be tried again. */
        NOT_DONE,
        /** It may have been done. */
        UNANSWERED
    }
}
