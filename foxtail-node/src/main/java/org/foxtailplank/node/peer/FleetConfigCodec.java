package org.foxtailplank.node.peer;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.job.AdviceTiming;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.RouteSettings;
import org.foxtailplank.port.ServiceConfig;

/** Encodes and decodes configurations as protobuf fields. */
final class FleetConfigCodec {
    private static final int LAST_FIELD = 12;

    private FleetConfigCodec() {}

    static byte[] encode(FleetConfig config) {
        return JournalCodec.encodeMessage(
                out -> {
                    out.writeInt64(1, config.version());
                    out.writeInt32(2, config.maxBodyBytes());
                    for (RouteSettings r : config.routes()) {
                        out.writeByteArray(3, JournalCodec.encodeMessage(o -> write(o, r)));
                    }
                    for (ServiceConfig s : config.services()) {
                        out.writeByteArray(4, JournalCodec.encodeMessage(o -> write(o, s)));
                    }
                });
    }

    private static void write(CodedOutputStream out, RouteSettings route) throws IOException {
        out.writeString(1, route.name());
        out.writeString(2, route.host());
        out.writeString(3, route.pathPrefix());
        out.writeString(4, route.service());
        QueuePolicy policy = route.policy();
        out.writeInt64(5, policy.priority());
        out.writeInt64(6, policy.maxAttempts());
        out.writeDouble(7, policy.stretch());
        out.writeInt64(8, policy.sloMs());
        if (policy.advice().isPresent()) {
            out.writeInt64(9, policy.advice().get().baseMs());
            out.writeInt64(10, policy.advice().get().perWorkerMs());
            out.writeInt64(11, policy.advice().get().validMs());
        }
    }

    private static void write(CodedOutputStream out, ServiceConfig service) throws IOException {
        out.writeString(1, service.name());
        out.writeInt64(5, service.enforcesCapacity() ? 1 : 0);
        out.writeInt64(6, service.standby() ? 1 : 0);
    }

    static FleetConfig decode(byte[] bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        long version = 0;
        int maxBodyBytes = 0;
        List<RouteSettings> routes = new ArrayList<>();
        List<ServiceConfig> services = new ArrayList<>();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case 1 -> version = in.readInt64();
                case 2 -> maxBodyBytes = in.readInt32();
                case 3 -> routes.add(Fields.read(in.readByteArray()).toRoute());
                case 4 -> services.add(Fields.read(in.readByteArray()).toService());
                default -> in.skipField(tag);
            }
        }
        return new FleetConfig(version, routes, services, maxBodyBytes);
    }

    /** Fields of a route or a service. */
    private static final class Fields {
        private final String[] mTexts = {"", "", "", "", ""};
        private final long[] mNumbers = new long[LAST_FIELD];
        private double mStretch = 1;
        private boolean mHasAdvice;

        static Fields read(byte[] bytes) throws IOException {
            Fields fields = new Fields();
            CodedInputStream in = CodedInputStream.newInstance(bytes);
            for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
                int field = WireFormat.getTagFieldNumber(tag);
                if (field < fields.mTexts.length) {
                    fields.mTexts[field] = in.readString();
                } else if (field == 7) {
                    fields.mStretch = in.readDouble();
                } else if (field < LAST_FIELD) {
                    fields.mNumbers[field] = in.readInt64();
                    fields.mHasAdvice |= field == 9;
                } else {
                    in.skipField(tag);
                }
            }
            return fields;
        }

        RouteSettings toRoute() {
            Optional<AdviceTiming> advice =
                    mHasAdvice
                            ? Optional.of(new AdviceTiming(mNumbers[9], mNumbers[10], mNumbers[11]))
                            : Optional.empty();
            QueuePolicy policy =
                    new QueuePolicy(
                            (int) mNumbers[5], (int) mNumbers[6], mStretch, mNumbers[8], advice);
            return new RouteSettings(mTexts[1], mTexts[2], mTexts[3], mTexts[4], policy);
        }

        ServiceConfig toService() {
            return new ServiceConfig(mTexts[1], mNumbers[5] != 0, mNumbers[6] != 0);
        }
    }
}
