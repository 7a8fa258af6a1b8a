package org.foxtailplank.platform;

/**
 * The platform's answer to an asked action.
 *
 * @param accepted whether it takes the action, now or on an earlier ask with the same id; otherwise
 *     it already knows a generation that is as high
 * @param vm the VM as it is now
 */
public record ActionReply(boolean accepted, VmReport vm) {}
