package org.foxtailplank.wire;

import java.util.concurrent.CompletionStage;
import org.foxtailplank.membership.Member;

/**
 * Handles one kind of message. Called on the link's event loop, so it must not block.
 *
 * @param <T> type of the message
 */
@FunctionalInterface
public interface PeerHandler<T extends PeerMessage> {

    /** Returns the answer, which is discarded if the sender does not expect one. */
    CompletionStage<? extends PeerMessage> handle(Member from, T message);
}
