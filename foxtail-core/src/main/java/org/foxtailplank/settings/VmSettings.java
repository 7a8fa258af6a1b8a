package org.foxtailplank.settings;

import org.foxtailplank.id.RackId;
import org.foxtailplank.id.ZoneId;

/**
 * Size and place of one VM.
 *
 * @param rack rack it stands in
 * @param zone availability zone of that rack
 * @param processors processor cores
 * @param memoryBytes memory in bytes
 * @param accelerators accelerators
 */
public record VmSettings(
        RackId rack, ZoneId zone, int processors, long memoryBytes, int accelerators) {}
