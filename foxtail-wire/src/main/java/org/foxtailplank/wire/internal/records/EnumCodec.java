package org.foxtailplank.wire.internal.records;

import com.google.protobuf.ProtocolMessageEnum;
import java.util.Optional;

/** Converts between core enums and protobuf enums by constant name. */
final class EnumCodec<C extends Enum<C>, P extends Enum<P> & ProtocolMessageEnum> {
    private final Class<C> mCore;
    private final Class<P> mProto;
    private final String mPrefix;

    private EnumCodec(Class<C> core, Class<P> proto, String prefix) {
        mCore = core;
        mProto = proto;
        mPrefix = prefix;
    }

    /** Creates a codec for protobuf constants named like the core constants with a prefix. */
    static <C extends Enum<C>, P extends Enum<P> & ProtocolMessageEnum> EnumCodec<C, P> between(
            Class<C> core, Class<P> proto, String prefix) {
        return new EnumCodec<>(core, proto, prefix);
    }

    P encode(C value) {
        return Enum.valueOf(mProto, mPrefix + value.name());
    }

    /** Returns the core constant; empty if it is unknown to this version. */
    Optional<C> decode(P value) {
        for (C c : mCore.getEnumConstants()) {
            if (value.name().equals(mPrefix + c.name())) {
                return Optional.of(c);
            }
        }
        return Optional.empty();
    }
}
