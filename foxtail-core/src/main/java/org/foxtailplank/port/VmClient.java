package org.foxtailplank.port;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.fleet.Resources;

/** Client of the platform's VM service. */
public interface VmClient {

    /** Lists all VMs. */
    void list(Consumer<Optional<List<VmInfo>>> callback);

    /**
     * Lists all VMs, also if the list arrives after the timeout.
     *
     * @param callback runs once, or twice if the list arrives after the timeout: first without a
     *     list, then with it
     */
    default void listAcceptingLate(Consumer<Optional<List<VmInfo>>> callback) {
        list(callback);
    }

    /**
     * Checks by a single call whether the VM service can be reached, which a rejection shows too.
     * {@code callback} runs once.
     */
    default void checkReachable(Consumer<Boolean> callback) {
        list(vms -> callback.accept(vms.isPresent()));
    }

    /**
     * Moves a VM to another pool, which terminates everything that runs on it. The call is sent
     * only while the holder's permit is valid, and aborted when the permit expires.
     */
    void move(String vm, String pool, Holder holder, Consumer<VmOutcome> callback);

    /**
     * Reboots a VM for a wave, which terminates everything that runs on it. The permit applies as
     * in {@link #move}.
     */
    void reboot(String vm, long wave, Holder holder, Consumer<VmOutcome> callback);

    /**
     * The owner that makes a call.
     *
     * @param node name of the node
     * @param token its fencing token
     * @param permit time limit of its calls
     */
    record Holder(String node, long token, CallPermit permit) {}

    /** Time limit of calls; evaluated just before a call is sent. */
    @FunctionalInterface
    interface CallPermit {
        /** Permit without a time limit, for calls that need no ownership. */
        CallPermit UNLIMITED = () -> Long.MAX_VALUE;

        /** Milliseconds from now after which a call must be aborted; 0 if none may be sent. */
        long leftMs();
    }

    /**
     * A VM.
     *
     * @param id ID of the VM, which moves and reboots don't change
     * @param pool pool that it belongs to
     * @param phase state of the VM
     * @param worker ID of its worker; empty while there is none
     * @param capacity resources of its worker
     */
    record VmInfo(String id, String pool, VmPhase phase, String worker, Resources capacity) {

        /** Creates an entry for a VM whose list entry couldn't be parsed; the ID may be empty. */
        public static VmInfo unreadable(String id) {
            return new VmInfo(id, "", VmPhase.UNREADABLE, "", Resources.NONE);
        }

        /** Whether the list entry could be parsed; if not, the VM may run any worker. */
        public boolean isReadable() {
            return phase != VmPhase.UNREADABLE;
        }
    }

    /** State of a VM. */
    enum VmPhase {
        UP,
        MOVING,
        REBOOTING,
        DOWN,
        /** The list entry couldn't be parsed or has an unknown state. */
        UNREADABLE
    }

    /** Outcome of a move or reboot. */
    enum VmOutcome {
        DONE,
        /** Rejected: the VM service has seen a higher fencing token for this VM. */
        FENCED,
        /** Rejected: the VM isn't up or is shutting down. */
        BUSY,
        /** Rejected: the VM isn't part of the wave. */
        NOT_OF_WAVE,
        /** Rejected: there is no such VM or pool. */
        INVALID,
        /** Nothing was done; the call can be retried. */
        NOT_DONE,
        /** No response: the action may have been executed. */
        UNANSWERED
    }
}
