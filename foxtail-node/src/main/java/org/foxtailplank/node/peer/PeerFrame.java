package org.foxtailplank.node.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.util.Optional;
import org.foxtailplank.job.JobPhase;
import org.foxtailplank.job.JobSummary;
import org.foxtailplank.lease.ClockReading;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.journal.JournalPosition;
import org.foxtailplank.node.journal.StoreOutcome;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.WorkerClient.StartCommand;
import org.foxtailplank.port.WorkerClient.WorkerAddress;
import org.foxtailplank.schedule.UnstoredJob;

/** A message of the peer protocol between two nodes. */
sealed interface PeerFrame {
    /** Token sent by a node that doesn't own; tokens of owners start at 1. */
    long NO_OWNER = 0;

    /**
     * From an owner to a follower: a record of the journal.
     *
     * @param token fencing token of the owner
     * @param partition index of the partition, in the journal's order
     * @param offset offset of the record
     * @param record the encoded record
     */
    record StreamedRecord(long token, int partition, long offset, byte[] record)
            implements PeerFrame {
        @Override
        public void write(CodedOutputStream out) throws IOException {
            out.writeInt64(Field.TOKEN, token);
            out.writeInt64(Field.OFFSET, offset);
            out.writeByteArray(Field.RECORD, record);
            out.writeInt32(Field.PARTITION, partition);
        }
    }

    /**
     * From an owner to a follower, and the first frame that any node sends on a connection.
     *
     * @param token fencing token of the owner; {@link #NO_OWNER} from a node that doesn't own
     * @param position position up to which the owner has read the journal
     * @param nowMs when it was sent, on the sender's monotonic clock
     * @param completeMs time up to which the owner has read every record stored, on the same clock
     * @param storedMsAgo how long ago the store last accepted a record of the owner
     * @param vmCallsFinished from a node that doesn't own: whether its process has no call to the
     *     VM service in flight
     * @param narrow from an owner: whether its link is narrow, so that followers able to take over
     *     report it
     * @param configVersion version of the sender's configuration; -1 without one
     */
    record Heartbeat(
            long token,
            JournalPosition position,
            long nowMs,
            long completeMs,
            long storedMsAgo,
            boolean vmCallsFinished,
            boolean narrow,
            long configVersion)
            implements PeerFrame {
        @Override
        public void write(CodedOutputStream out) throws IOException {
            out.writeInt64(Field.TOKEN, token);
            out.writeInt64(Field.STORED_MS_AGO, storedMsAgo);
            out.writeInt64(Field.NOW_MS, nowMs);
            out.writeInt64(Field.COMPLETE_MS, completeMs);
            out.writeBool(Field.CALLS_OVER, vmCallsFinished);
            out.writeBool(Field.NARROW, narrow);
            out.writeInt64(Field.HEARTBEAT_CONFIG, configVersion);
            for (long offset : position.offsets()) {
                out.writeInt64(Field.POSITION, offset);
            }
        }
    }

    /**
     * From a follower to the owner: a record to store.
     *
     * @param number number of the handover on this connection
     * @param record the encoded record
     */
    record Handover(long number, byte[] record) implements PeerFrame {
        @Override
        public void write(CodedOutputStream out) throws IOException {
            out.writeInt64(Field.HANDOVER, number);
            out.writeBytes(Field.RECORD, ByteString.copyFrom(record));
        }
    }

    /** From the owner to a follower: the outcome of a handover. */
    record HandoverResponse(long number, StoreOutcome outcome) implements PeerFrame {
        @Override
        public void write(CodedOutputStream out) throws IOException {
            out.writeInt64(Field.HANDOVER, number);
            out.writeInt32(Field.OUTCOME, outcome.ordinal());
        }
    }

    /** From a follower to the owner: its link is ample, and it can take ownership now. */
    record Standby() implements PeerFrame {
        @Override
        public void write(CodedOutputStream out) throws IOException {
            out.writeBool(Field.STANDBY, true);
        }
    }

    /** Subject of a query. */
    enum Subject {
        /** The phase of a job. */
        JOB,
        /** The number of pending jobs of a queue. */
        QUEUE,
        /** Whether the submission of a job may be refused: 1, or 0 if the job may be stored. */
        REFUSAL
    }

    /**
     * From a follower to the owner: a query that the follower can't answer from its own job state.
     *
     * @param number number of the query on this connection
     * @param subject subject of the query
     * @param name ID of the job, or name of the queue
     * @param value time for which a job that is refused isn't stored, in milliseconds
     */
    record Query(long number, Subject subject, String name, Optional<Integer> value)
            implements PeerFrame {
        @Override
        public void write(CodedOutputStream out) throws IOException {
            out.writeInt64(Field.QUERY, number);
            out.writeString(QueryFields.field(subject), name);
            if (value.isPresent()) {
                out.writeInt32(Field.VALUE, value.get());
            }
        }
    }

    /**
     * From the owner to a follower: the response to a query.
     *
     * @param number number of the query
     * @param value ordinal of the job's phase, or a count; empty if the owner doesn't know it
     * @param queue name of the job's queue; empty for a count
     * @param organisation name of the organisation that the job belongs to; empty for none
     */
    record QueryResponse(long number, Optional<Integer> value, String queue, String organisation)
            implements PeerFrame {
        static QueryResponse ofJob(long number, Optional<JobSummary> job) {
            return new QueryResponse(
                    number,
                    job.map(j -> j.phase().ordinal()),
                    job.map(JobSummary::route).orElse(""),
                    job.map(JobSummary::organisation).orElse(""));
        }

        static QueryResponse ofCount(long number, Optional<Integer> count) {
            return new QueryResponse(number, count, "", "");
        }

        Optional<JobSummary> toJobSummary() {
            JobPhase[] phases = JobPhase.values();
            return value.filter(p -> p >= 0 && p < phases.length)
                    .map(p -> new JobSummary(phases[p], queue, organisation));
        }

        @Override
        public void write(CodedOutputStream out) throws IOException {
            out.writeInt64(Field.QUERY, number);
            if (value.isPresent()) {
                out.writeInt32(Field.VALUE, value.get());
            }
            if (!organisation.isEmpty()) {
                out.writeString(Field.JOB_QUEUE, queue);
                out.writeString(Field.ORGANISATION, organisation);
            }
        }
    }

    /** From a follower to an owner: it relays starts. Peers without this frame aren't sent any. */
    record RelayOffer() implements PeerFrame {
        @Override
        public void write(CodedOutputStream out) throws IOException {
            out.writeBool(Field.RELAY_OFFER, true);
        }
    }

    /**
     * From the owner to a follower that offered it: a start to send to a worker.
     *
     * @param number number of the relayed start on this owner
     * @param worker the worker
     * @param command the command; its text is not sent, since the follower's replica has it
     */
    record RelayedStart(long number, WorkerAddress worker, StartCommand command)
            implements PeerFrame {
        @Override
        public void write(CodedOutputStream out) throws IOException {
            out.writeInt64(Field.RELAYED_START, number);
            out.writeString(Field.WORKER, worker.id());
            out.writeString(Field.ADDRESS, worker.address());
            out.writeString(Field.TASK, command.run().task().toString());
            out.writeInt32(Field.ATTEMPT, command.run().attempt());
            out.writeInt64(Field.TOKEN, command.run().token());
            out.writeInt64(Field.LEASE_UNTIL_MS, command.leaseUntilMs());
            out.writeString(Field.CHECKPOINT, command.checkpoint());
            out.writeString(Field.TICKET, command.ticket());
        }
    }

    /**
     * From a follower to the owner: the outcome of a relayed start.
     *
     * @param number number of the relayed start
     * @param outcome the worker's answer; empty if the follower did not send the command
     */
    record RelayResponse(long number, Optional<CommandOutcome> outcome) implements PeerFrame {
        @Override
        public void write(CodedOutputStream out) throws IOException {
            out.writeInt64(Field.RELAYED_START, number);
            if (outcome.isPresent()) {
                out.writeInt32(Field.COMMAND_OUTCOME, outcome.get().ordinal());
            }
        }
    }

    /** From a follower to an owner with an older configuration: the follower's version. */
    record ConfigVersion(long version) implements PeerFrame {
        @Override
        public void write(CodedOutputStream out) throws IOException {
            out.writeInt64(Field.CONFIG_VERSION, version);
        }
    }

    /**
     * To a peer: asks since when it knows its configuration to be the newest. Peers of earlier
     * versions take it for a {@link ConfigVersion}.
     *
     * @param version the sender's version
     * @param sentAt when it was sent, on the sender's clocks
     */
    record ConfirmationRequest(long version, ClockReading sentAt) implements PeerFrame {
        @Override
        public void write(CodedOutputStream out) throws IOException {
            out.writeInt64(Field.CONFIG_VERSION, version);
            out.writeInt64(Field.REQUEST_STEADY_MS, sentAt.steadyMs());
            out.writeInt64(Field.REQUEST_WALL_MS, sentAt.wallMs());
        }
    }

    /**
     * In response to a {@link ConfirmationRequest}.
     *
     * @param version the sender's version
     * @param requestSentAt when the request was sent, on the receiver's clocks
     * @param ageMs how long ago the sender's configuration was known to be the newest
     */
    record ConfirmationResponse(long version, ClockReading requestSentAt, long ageMs)
            implements PeerFrame {
        @Override
        public void write(CodedOutputStream out) throws IOException {
            out.writeInt64(Field.CONFIG_VERSION, version);
            out.writeInt64(Field.REQUEST_STEADY_MS, requestSentAt.steadyMs());
            out.writeInt64(Field.REQUEST_WALL_MS, requestSentAt.wallMs());
            out.writeInt64(Field.CONFIRMATION_AGE_MS, ageMs);
        }
    }

    /** To a peer that announced a newer version: asks for its configuration. */
    record ConfigRequest() implements PeerFrame {
        @Override
        public void write(CodedOutputStream out) throws IOException {
            out.writeBool(Field.CONFIG_REQUEST, true);
        }
    }

    /** In response to a request: the encoded configuration. */
    record ConfigContent(byte[] bytes) implements PeerFrame {
        @Override
        public void write(CodedOutputStream out) throws IOException {
            out.writeByteArray(Field.CONFIG_CONTENT, bytes);
        }
    }

    /**
     * From the owner to a follower that sends its accepted work: capacity of the pools.
     *
     * @param token fencing token of the owner
     * @param content changes since the last report on this connection
     */
    record CapacityReport(long token, byte[] content) implements PeerFrame {
        @Override
        public void write(CodedOutputStream out) throws IOException {
            out.writeInt64(Field.CAPACITY_TOKEN, token);
            out.writeByteArray(Field.CAPACITY, content);
        }
    }

    /**
     * From a follower whose admission is on to the owner: asks for capacity reports.
     *
     * @param content work of the jobs that it accepted since the last frame, by pool
     */
    record AcceptedWork(byte[] content) implements PeerFrame {
        @Override
        public void write(CodedOutputStream out) throws IOException {
            out.writeByteArray(Field.ACCEPTED_WORK, content);
        }
    }

    /**
     * From a follower to the owner: a submission that it rejected since the store took no record.
     * Owners of earlier versions ignore it.
     */
    record Unstored(UnstoredJob job) implements PeerFrame {
        @Override
        public void write(CodedOutputStream out) throws IOException {
            UnstoredFields.write(job, out);
        }
    }

    /** Field numbers on the wire. */
    final class Field {
        static final int TOKEN = 1;
        static final int OFFSET = 2;
        static final int RECORD = 3;
        static final int STORED_MS_AGO = 4;
        static final int HANDOVER = 5;
        static final int OUTCOME = 6;
        static final int CALLS_OVER = 7;
        static final int PARTITION = 8;
        static final int POSITION = 9;
        static final int QUERY = 10;
        static final int JOB = 11;
        static final int QUEUE = 12;
        static final int VALUE = 13;
        static final int NOW_MS = 14;
        static final int COMPLETE_MS = 15;
        static final int STANDBY = 16;
        static final int NARROW = 17;
        static final int RELAY_OFFER = 18;
        static final int RELAYED_START = 19;
        static final int WORKER = 20;
        static final int ADDRESS = 21;
        static final int TASK = 22;
        static final int ATTEMPT = 23;
        static final int LEASE_UNTIL_MS = 24;
        static final int CHECKPOINT = 25;
        static final int TICKET = 26;
        static final int COMMAND_OUTCOME = 27;
        static final int CONFIG_VERSION = 28;
        static final int CONFIG_REQUEST = 29;
        static final int CONFIG_CONTENT = 30;
        static final int HEARTBEAT_CONFIG = 31;
        static final int REQUEST_STEADY_MS = 32;
        static final int REQUEST_WALL_MS = 33;
        static final int CONFIRMATION_AGE_MS = 34;
        static final int JOB_QUEUE = 35;
        static final int ORGANISATION = 36;
        static final int REFUSAL = 37;
        static final int CAPACITY = 38;
        static final int CAPACITY_TOKEN = 39;
        static final int ACCEPTED_WORK = 40;
        static final int UNSTORED_JOB = 41;
        static final int UNSTORED_SERVICE = 42;
        static final int UNSTORED_ORGANISATION = 43;
        static final int UNSTORED_MILLI_CORES = 44;
        static final int UNSTORED_AGE_MS = 45;

        private Field() {}
    }

    /** Writes the frame's fields. */
    void write(CodedOutputStream out) throws IOException;

    /** Encodes the frame with its length prefix. */
    default ByteBuf encode() {
        ByteBuf frame = Unpooled.buffer().writeZero(Integer.BYTES);
        try {
            CodedOutputStream out =
                    CodedOutputStream.newInstance(
                            new ByteBufOutputStream(frame), JournalCodec.BUFFER_BYTES);
            write(out);
            out.flush();
        } catch (IOException e) {
            throw new IllegalStateException("cannot write to an in-memory buffer", e);
        }
        return frame.setInt(0, frame.readableBytes() - Integer.BYTES);
    }

    /** Decodes a frame without its length prefix. */
    static PeerFrame decode(ByteBuf bytes) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(ByteBufUtil.getBytes(bytes));
        long token = NO_OWNER;
        long offset = 0;
        int partition = 0;
        HeartbeatFields heartbeat = new HeartbeatFields();
        RelayFields relay = new RelayFields();
        Optional<byte[]> record = Optional.empty();
        Optional<Long> handover = Optional.empty();
        Optional<StoreOutcome> outcome = Optional.empty();
        QueryFields query = new QueryFields();
        boolean standby = false;
        ConfigFields config = new ConfigFields();
        CapacityFrameFields capacity = new CapacityFrameFields();
        UnstoredFields unstored = new UnstoredFields();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case Field.TOKEN -> token = in.readInt64();
                case Field.OFFSET -> offset = in.readInt64();
                case Field.PARTITION -> partition = checkedPartition(in.readInt32());
                case Field.RECORD -> record = Optional.of(in.readByteArray());
                case Field.HANDOVER -> handover = Optional.of(in.readInt64());
                case Field.OUTCOME -> outcome = Optional.of(storeOutcome(in.readInt32()));
                case Field.STANDBY -> standby = in.readBool();
                default -> {
                    boolean read =
                            relay.read(tag, in)
                                    || config.read(tag, in)
                                    || query.read(tag, in)
                                    || capacity.read(tag, in)
                                    || unstored.read(tag, in);
                    if (!read) {
                        heartbeat.read(tag, in);
                    }
                }
            }
        }
        Optional<PeerFrame> grouped =
                config.toFrame().or(query::toFrame).or(capacity::toFrame).or(unstored::toFrame);
        grouped = grouped.isEmpty() ? relay.toFrame(token) : grouped;
        if (grouped.isPresent()) {
            return grouped.get();
        }
        if (standby) {
            return new Standby();
        }
        if (handover.isEmpty() && record.isPresent()) {
            return new StreamedRecord(token, partition, offset, record.get());
        }
        if (handover.isEmpty()) {
            return heartbeat.toHeartbeat(token);
        }
        if (outcome.isPresent()) {
            return new HandoverResponse(handover.get(), outcome.get());
        }
        return new Handover(
                handover.get(),
                record.orElseThrow(() -> new IOException("handover frame without a record")));
    }

    private static int checkedPartition(int number) throws IOException {
        if (number < 0) {
            throw new IOException("invalid journal partition: " + number);
        }
        return number;
    }

    private static StoreOutcome storeOutcome(int number) throws IOException {
        StoreOutcome[] outcomes = StoreOutcome.values();
        if (number < 0 || number >= outcomes.length) {
            throw new IOException("unknown store outcome: " + number);
        }
        return outcomes[number];
    }
}
