package org.foxtailplank.wire.internal.peer;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import org.foxtailplank.membership.Member;
import org.foxtailplank.wire.PeerHandler;
import org.foxtailplank.wire.PeerMessage;

/** Message handlers of this node by kind of message. */
final class Handlers {

    private final Map<Class<?>, TypedHandler<?>> mHandlers = new ConcurrentHashMap<>();

    <T extends PeerMessage> void register(Class<T> kind, PeerHandler<T> handler) {
        mHandlers.put(kind, new TypedHandler<>(kind, handler));
    }

    /** Calls the handler of a message; empty if none is registered. */
    Optional<CompletionStage<? extends PeerMessage>> call(Member from, PeerMessage message) {
        return Optional.ofNullable(mHandlers.get(message.getClass()))
                .map(handler -> handler.call(from, message));
    }

    private record TypedHandler<T extends PeerMessage>(Class<T> kind, PeerHandler<T> handler) {

        CompletionStage<? extends PeerMessage> call(Member from, PeerMessage message) {
            return handler.handle(from, kind.cast(message));
        }
    }
}
