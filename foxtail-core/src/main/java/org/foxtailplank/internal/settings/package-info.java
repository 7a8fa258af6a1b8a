/** Reads, merges and checks settings; its public face is {@code org.foxtailplank.settings}. */
package org.foxtailplank.internal.settings;
