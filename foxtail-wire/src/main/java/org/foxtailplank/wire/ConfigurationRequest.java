package org.foxtailplank.wire;

/**
 * Asks for what is newer than the asker's state.
 *
 * @param nextOffset next offset that the asker would fold; 0 when it has folded nothing
 * @param snapshotOffset snapshot that is being fetched in chunks; 0 for the newest one
 * @param position first byte wanted of that snapshot
 */
public record ConfigurationRequest(long nextOffset, long snapshotOffset, long position)
        implements PeerMessage {}
