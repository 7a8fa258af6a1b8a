package org.foxtailplank.settings;

import org.foxtailplank.id.ZoneId;

/**
 * A rack: VMs that fail together.
 *
 * @param zone availability zone that the rack stands in
 */
public record RackSettings(ZoneId zone) {}
