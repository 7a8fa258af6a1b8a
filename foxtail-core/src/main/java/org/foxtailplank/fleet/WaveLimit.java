package org.foxtailplank.fleet;

import java.util.Optional;
import org.foxtailplank.id.RackId;

/**
 * A limit of the width of a step, for one service or one pool without a service.
 *
 * @param kind kind of the limit
 * @param subject the service or the pool
 * @param rack rack with the most serving VMs, whose loss the limit covers
 * @param serving VMs that serve
 * @param needed VMs that must serve
 * @param reserved VMs reserved for the loss of the rack
 * @param width VMs of the subject that the step stops
 */
public record WaveLimit(
        LimitKind kind,
        String subject,
        Optional<RackId> rack,
        int serving,
        int needed,
        int reserved,
        int width) {

    /** Returns a human-readable description. */
    public String text() {
        String numbers =
                String.format(
                        "%s: %d serve, %d needed, %d kept for the loss of rack %s, %d stopped",
                        subject,
                        serving,
                        needed,
                        reserved,
                        rack.map(RackId::value).orElse("-"),
                        width);
        return switch (kind) {
            case BUDGET -> numbers + "; limited by the availability budget";
            case FAILURES -> numbers + "; waits until failed VMs serve again";
            case DEMAND -> numbers + "; limited by the measured demand";
            case NEVER -> numbers + "; no VM can ever be stopped: add VMs or lower minAvailable";
            case RAMP -> numbers + "; widens as maintained VMs come back";
        };
    }
}
