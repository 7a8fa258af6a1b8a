package org.foxtailplank.wire;

import com.google.protobuf.ByteString;

/**
 * A whole state in one piece.
 *
 * @param nextOffset offset of the first record that is not in it
 * @param bytes the state, encoded with its own checksum
 */
public record RolledUpState(long nextOffset, ByteString bytes) {}
