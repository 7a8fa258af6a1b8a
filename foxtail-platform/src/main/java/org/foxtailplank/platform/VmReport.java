package org.foxtailplank.platform;

import java.util.Optional;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;

/**
 * A VM as the platform reports it.
 *
 * @param id the VM
 * @param zone availability zone it stands in
 * @param rack rack it stands in
 * @param power whether it is powered
 * @param pool pool that the platform was last told
 * @param poolGeneration pool generation that the platform was last told
 * @param generation generation of the last action that the platform took
 * @param leaving whether it is leaving
 * @param lastAction last action that the platform took
 * @param instance backend server that runs on it
 */
public record VmReport(
        VmId id,
        ZoneId zone,
        RackId rack,
        VmPower power,
        Optional<PoolId> pool,
        long poolGeneration,
        long generation,
        boolean leaving,
        Optional<ActionReport> lastAction,
        Optional<InstanceReport> instance) {}
