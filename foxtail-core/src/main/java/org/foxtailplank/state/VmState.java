package org.foxtailplank.state;

import java.util.Optional;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.id.ZoneId;

/**
 * A VM as folded from the log.
 *
 * @param id the VM
 * @param zone availability zone
 * @param rack rack
 * @param pool the one pool it belongs to
 * @param poolGeneration number of pools it has belonged to; platform calls carry it
 * @param phase where it is in its life
 * @param generation number of actions intended on it; platform calls carry it
 * @param pending action intended and not confirmed
 * @param wave wave whose step it is in
 * @param joining pool it is released to
 * @param lastMaintained offset of its last confirmed reboot; 0 for none
 * @param version offset of its last change
 */
public record VmState(
        VmId id,
        ZoneId zone,
        RackId rack,
        PoolId pool,
        long poolGeneration,
        VmPhase phase,
        long generation,
        Optional<VmAction> pending,
        Optional<WaveId> wave,
        Optional<PoolId> joining,
        long lastMaintained,
        long version) {}
