package org.foxtailplank.node.peer;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.util.Optional;
import org.foxtailplank.node.peer.PeerFrame.Field;
import org.foxtailplank.node.peer.PeerFrame.Query;
import org.foxtailplank.node.peer.PeerFrame.QueryResponse;
import org.foxtailplank.node.peer.PeerFrame.Subject;

/** Collects the fields of a query or its response while a frame is decoded. */
final class QueryFields {
    private Optional<Long> mNumber = Optional.empty();
    private Optional<Subject> mSubject = Optional.empty();
    private String mName = "";
    private Optional<Integer> mValue = Optional.empty();
    private String mJobQueue = "";
    private String mOrganisation = "";

    /** Returns the field that contains the name of a subject. */
    static int field(Subject subject) {
        return switch (subject) {
            case JOB -> Field.JOB;
            case QUEUE -> Field.QUEUE;
            case REFUSAL -> Field.REFUSAL;
        };
    }

    /** Reads a field; returns false if it belongs to another kind of frame. */
    boolean read(int tag, CodedInputStream in) throws IOException {
        switch (WireFormat.getTagFieldNumber(tag)) {
            case Field.QUERY -> mNumber = Optional.of(in.readInt64());
            case Field.JOB -> readSubject(Subject.JOB, in);
            case Field.QUEUE -> readSubject(Subject.QUEUE, in);
            case Field.REFUSAL -> readSubject(Subject.REFUSAL, in);
            case Field.VALUE -> mValue = Optional.of(in.readInt32());
            case Field.JOB_QUEUE -> mJobQueue = in.readString();
            case Field.ORGANISATION -> mOrganisation = in.readString();
            default -> {
                return false;
            }
        }
        return true;
    }

    private void readSubject(Subject subject, CodedInputStream in) throws IOException {
        mSubject = Optional.of(subject);
        mName = in.readString();
    }

    /** Returns the frame; empty if it is of another kind. */
    Optional<PeerFrame> toFrame() {
        return mNumber.map(
                n ->
                        mSubject.isPresent()
                                ? new Query(n, mSubject.get(), mName, mValue)
                                : new QueryResponse(n, mValue, mJobQueue, mOrganisation));
    }
}
