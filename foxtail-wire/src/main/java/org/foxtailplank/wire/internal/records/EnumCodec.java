package org.foxtailplank.wire.internal.records;

import com.google.protobuf.ProtocolMessageEnum;
import java.util.Optional;

/** Pairs enums of the core with those of the protobuf format, by name. */
final class EnumCodec<C extends Enum<C>, P extends Enum<P> & ProtocolMessageEnum> {
    private final Class<C> mCore;
    private final Class<P> mProto;
    private final String mPrefix;

    private EnumCodec(Class<C> core, Class<P> proto, String prefix) {
        mCore = core;
        mProto = proto;
        mPrefix = prefix;
    }

    /** Pairs constants whose protobuf names are those of the core behind a prefix. */
    static <C extends Enum<C>, P extends Enum<P> & ProtocolMessageEnum> EnumCodec<C, P> between(
            Class<C> core, Class<P> proto, String prefix) {
        return new EnumCodec<>(core, proto, prefix);
    }

    P encode(C value) {
        return Enum.valueOf(mProto, mPrefix + value.name());
    }

    /** The constant of the core; empty for one that is newer than this program. */
    Optional<C> decode(P value) {
        for (C c : mCore.getEnumConstants()) {
            if (value.name().equals(mPrefix + c.name())) {
                return Optional.of(c);
            }
        }
        return Optional.empty();
    }
}
