package org.foxtailplank.node.peer;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.AdviceTiming;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.organisation.Organisation;
import org.foxtailplank.organisation.Organisations;
import org.foxtailplank.organisation.ResourceCap;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.RouteSettings;
import org.foxtailplank.port.ServiceConfig;

/** Encodes and decodes configurations as protobuf fields. */
final class FleetConfigCodec {
    private static final int LAST_FIELD = 13;

    /** Peers of earlier versions omit organisations, and write no format. */
    private static final int FORMAT_WITH_ORGANISATIONS = 1;

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
                    for (Organisation org : config.organisations().all()) {
                        out.writeByteArray(5, JournalCodec.encodeMessage(o -> write(o, org)));
                    }
                    out.writeInt32(6, FORMAT_WITH_ORGANISATIONS);
                });
    }

    private static void write(CodedOutputStream out, Organisation organisation) throws IOException {
        out.writeString(1, organisation.name());
        for (String key : organisation.keys()) {
            out.writeString(2, key);
        }
        out.writeDouble(3, organisation.weight());
        Resources limits = organisation.cap().limits();
        out.writeInt64(4, limits.milliProcessors());
        out.writeInt64(5, limits.memoryBytes());
        out.writeInt32(6, limits.accelerators());
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
        out.writeInt64(12, route.requiresKey() ? 1 : 0);
    }

    private static void write(CodedOutputStream out, ServiceConfig service) throws IOException {
        out.writeString(1, service.name());
        out.writeInt64(5, service.enforcesCapacity() ? 1 : 0);
        out.writeInt64(6, service.standby() ? 1 : 0);
    }

    /** Decodes a configuration; empty if its sender may have omitted its organisations. */
    static Optional<FleetConfig> decode(byte[] bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes);
        long version = 0;
        int maxBodyBytes = 0;
        List<RouteSettings> routes = new ArrayList<>();
        List<ServiceConfig> services = new ArrayList<>();
        List<Organisation> organisations = new ArrayList<>();
        int format = 0;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case 1 -> version = in.readInt64();
                case 2 -> maxBodyBytes = in.readInt32();
                case 3 -> routes.add(Fields.read(in.readByteArray()).toRoute());
                case 4 -> services.add(Fields.read(in.readByteArray()).toService());
                case 5 -> organisations.add(readOrganisation(in.readBytes().newCodedInput()));
                case 6 -> format = in.readInt32();
                default -> in.skipField(tag);
            }
        }
        if (format < FORMAT_WITH_ORGANISATIONS) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new FleetConfig(
                            version,
                            routes,
                            services,
                            maxBodyBytes,
                            Organisations.of(organisations)));
        } catch (Organisations.DuplicateException e) {
            throw new IOException("invalid organisations of a peer", e);
        }
    }

    private static Organisation readOrganisation(CodedInputStream in) throws IOException {
        String name = "";
        Set<String> keys = new HashSet<>();
        double weight = 0;
        long milliProcessors = 0;
        long memoryBytes = 0;
        int accelerators = 0;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case 1 -> name = in.readString();
                case 2 -> keys.add(in.readString());
                case 3 -> weight = in.readDouble();
                case 4 -> milliProcessors = in.readInt64();
                case 5 -> memoryBytes = in.readInt64();
                case 6 -> accelerators = in.readInt32();
                default -> in.skipField(tag);
            }
        }
        Resources limits = new Resources(milliProcessors, memoryBytes, accelerators);
        return new Organisation(name, keys, weight, new ResourceCap(limits));
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
            return new RouteSettings(
                    mTexts[1], mTexts[2], mTexts[3], mTexts[4], policy, mNumbers[12] != 0);
        }

        ServiceConfig toService() {
            return new ServiceConfig(mTexts[1], mNumbers[5] != 0, mNumbers[6] != 0);
        }
    }
}
