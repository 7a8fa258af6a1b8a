package org.foxtailplank.platform;

import java.net.InetSocketAddress;
import org.foxtailplank.id.ServiceId;

/**
 * A backend server on a VM.
 *
 * @param service service whose instance it is
 * @param address where it takes requests
 */
public record InstanceReport(ServiceId service, InetSocketAddress address) {}
