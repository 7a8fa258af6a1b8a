package org.foxtailplank.controller.internal.act;

import org.foxtailplank.state.VmState;

/**
 * A VM that waits for a controller to go on.
 *
 * @param vm the VM as folded from the log
 * @param hasService whether its pool runs a service, so that a backend server is expected on it
 */
record PendingVm(VmState vm, boolean hasService) {}
