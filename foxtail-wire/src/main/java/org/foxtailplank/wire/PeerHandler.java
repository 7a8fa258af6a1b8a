package org.foxtailplank.wire;

import java.util.concurrent.CompletionStage;
import org.foxtailplank.membership.Member;

/**
 * Answers a kind of message; called on the link's only thread, so it never blocks.
 *
 * @param <T> kind of message
 */
@FunctionalInterface
public interface PeerHandler<T extends PeerMessage> {

    /** The answer; a message that was only sent, not asked, drops it. */
    CompletionStage<? extends PeerMessage> handle(Member from, T message);
}
