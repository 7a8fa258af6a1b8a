package org.foxtailplank.node.peer;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.util.Optional;
import org.foxtailplank.node.peer.PeerFrame.Field;
import org.foxtailplank.schedule.UnstoredJob;

/** Writes an unstored job, and collects its fields while a frame is decoded. */
final class UnstoredFields {
    private Optional<String> mId = Optional.empty();
    private String mService = "";
    private String mOrganisation = "";
    private long mMilliCores;
    private long mAgeMs;

    static void write(UnstoredJob job, CodedOutputStream out) throws IOException {
        out.writeString(Field.UNSTORED_JOB, job.id());
        out.writeString(Field.UNSTORED_SERVICE, job.service());
        out.writeString(Field.UNSTORED_ORGANISATION, job.organisation());
        out.writeInt64(Field.UNSTORED_MILLI_CORES, job.milliCores());
        out.writeInt64(Field.UNSTORED_AGE_MS, job.ageMs());
    }

    /** Reads a field; returns false if it belongs to another kind of frame. */
    boolean read(int tag, CodedInputStream in) throws IOException {
        switch (WireFormat.getTagFieldNumber(tag)) {
            case Field.UNSTORED_JOB -> mId = Optional.of(in.readString());
            case Field.UNSTORED_SERVICE -> mService = in.readString();
            case Field.UNSTORED_ORGANISATION -> mOrganisation = in.readString();
            case Field.UNSTORED_MILLI_CORES -> mMilliCores = notNegative(in.readInt64());
            case Field.UNSTORED_AGE_MS -> mAgeMs = notNegative(in.readInt64());
            default -> {
                return false;
            }
        }
        return true;
    }

    private static long notNegative(long value) throws IOException {
        if (value < 0) {
            throw new IOException("negative demand or age of an unstored job: " + value);
        }
        return value;
    }

    /** Returns the frame; empty if it is of another kind. */
    Optional<PeerFrame> toFrame() {
        return mId.map(
                id ->
                        new PeerFrame.Unstored(
                                new UnstoredJob(id, mService, mOrganisation, mMilliCores, mAgeMs)));
    }
}
