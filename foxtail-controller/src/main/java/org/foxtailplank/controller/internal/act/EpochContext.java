package org.foxtailplank.controller.internal.act;

import java.time.InstantSource;
import java.util.function.Supplier;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.internal.control.EpochPolicy;
import org.foxtailplank.internal.control.Liveness;

/**
 * What it takes to hold epochs.
 *
 * @param self this node
 * @param writer writes records
 * @param policy when to try
 * @param liveness how long other nodes have been silent
 * @param clock decides only when to try
 */
public record EpochContext(
        NodeId self,
        RecordWriter writer,
        Supplier<EpochPolicy> policy,
        Liveness liveness,
        InstantSource clock) {}
