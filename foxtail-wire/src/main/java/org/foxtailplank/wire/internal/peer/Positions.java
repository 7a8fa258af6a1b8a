package org.foxtailplank.wire.internal.peer;

import org.foxtailplank.state.StatePosition;
import org.foxtailplank.wire.generated.peer.PositionProto;

/** Protobuf codec of log positions. */
final class Positions {

    private Positions() {}

    static PositionProto encode(StatePosition position) {
        return PositionProto.newBuilder()
                .setRestorations(position.restorations())
                .setNextOffset(position.nextOffset())
                .setDigest(position.digest())
                .build();
    }

    static StatePosition decode(PositionProto proto) {
        return new StatePosition(proto.getRestorations(), proto.getNextOffset(), proto.getDigest());
    }
}
