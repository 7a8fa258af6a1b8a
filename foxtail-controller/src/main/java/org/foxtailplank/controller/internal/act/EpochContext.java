package org.foxtailplank.controller.internal.act;

import java.time.InstantSource;
import java.util.function.Supplier;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.internal.control.EpochPolicy;
import org.foxtailplank.internal.control.Liveness;

/**
 * The dependencies of an epoch election.
 *
 * @param self this node
 * @param writer writes records
 * @param policy decides when to try to acquire an epoch
 * @param liveness how long other nodes have been silent
 * @param clock used only to time attempts
 */
public record EpochContext(
        NodeId self,
        RecordWriter writer,
        Supplier<EpochPolicy> policy,
        Liveness liveness,
        InstantSource clock) {}
