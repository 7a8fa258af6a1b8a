package org.foxtailplank.platform;

import org.foxtailplank.id.PoolId;

/**
 * An action asked of the platform.
 *
 * @param id id chosen by the asker; the same id again has no further effect
 * @param action what to do
 * @param generation generation of the VM for which it is meant; must be above the VM's own
 * @param pool pool that the VM belongs to once the action is done
 * @param poolGeneration generation of that membership
 */
public record ActionRequest(
        String id, PlatformAction action, long generation, PoolId pool, long poolGeneration) {}
