package org.foxtailplank.request;

import java.net.InetSocketAddress;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;

/**
 * A backend server: the instance of a service that runs on one VM.
 *
 * @param vm the VM it runs on
 * @param service the service it is an instance of
 * @param zone availability zone of the VM
 * @param address where it answers
 */
public record BackendServer(VmId vm, ServiceId service, ZoneId zone, InetSocketAddress address) {}
