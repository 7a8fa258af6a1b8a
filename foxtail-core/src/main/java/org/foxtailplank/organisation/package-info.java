/**
 * Organisations on whose behalf callers submit jobs: their API keys, their shares and caps.
 *
 * <p>Nothing here performs I/O or reads a clock. Organisations are part of the operator's
 * configuration, which nodes learn of with a delay; {@link
 * org.foxtailplank.organisation.KeyLifetime} bounds that delay for keys.
 */
package org.foxtailplank.organisation;
