package org.foxtailplank.node.peer;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.util.Optional;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.node.peer.PeerFrame.Field;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.WorkerClient.RunCommand;
import org.foxtailplank.port.WorkerClient.StartCommand;
import org.foxtailplank.port.WorkerClient.WorkerAddress;

/** Collects the fields of a frame about relayed starts while it is decoded. */
final class RelayFields {
    private Optional<Long> mNumber = Optional.empty();
    private Optional<CommandOutcome> mOutcome = Optional.empty();
    private Optional<TaskName> mTask = Optional.empty();
    private boolean mOffer;
    private boolean mHasWorker;
    private String mWorker = "";
    private String mAddress = "";
    private String mCheckpoint = "";
    private String mTicket = "";
    private int mAttempt;
    private long mLeaseUntilMs;

    /** Reads a field; returns false if it belongs to another kind of frame. */
    boolean read(int tag, CodedInputStream in) throws IOException {
        switch (WireFormat.getTagFieldNumber(tag)) {
            case Field.RELAY_OFFER -> mOffer = in.readBool();
            case Field.RELAYED_START -> mNumber = Optional.of(in.readInt64());
            case Field.COMMAND_OUTCOME -> mOutcome = Optional.of(outcome(in.readInt32()));
            case Field.TASK -> mTask = Optional.of(task(in.readString()));
            case Field.WORKER -> {
                mWorker = in.readString();
                mHasWorker = true;
            }
            case Field.ADDRESS -> mAddress = in.readString();
            case Field.CHECKPOINT -> mCheckpoint = in.readString();
            case Field.TICKET -> mTicket = in.readString();
            case Field.ATTEMPT -> mAttempt = in.readInt32();
            case Field.LEASE_UNTIL_MS -> mLeaseUntilMs = in.readInt64();
            default -> {
                return false;
            }
        }
        return true;
    }

    /** Returns the frame, or empty if the fields are those of another kind of frame. */
    Optional<PeerFrame> toFrame(long token) throws IOException {
        if (mOffer) {
            return Optional.of(new PeerFrame.RelayOffer());
        }
        if (mNumber.isEmpty()) {
            return Optional.empty();
        }
        if (!mHasWorker) {
            return Optional.of(new PeerFrame.RelayResponse(mNumber.get(), mOutcome));
        }
        TaskName task = mTask.orElseThrow(() -> new IOException("relayed start without a task"));
        StartCommand command =
                new StartCommand(
                        new RunCommand(task, mAttempt, token),
                        "",
                        mCheckpoint,
                        mTicket,
                        mLeaseUntilMs);
        WorkerAddress worker = new WorkerAddress(mWorker, mAddress);
        return Optional.of(new PeerFrame.RelayedStart(mNumber.get(), worker, command));
    }

    private static TaskName task(String text) throws IOException {
        return TaskName.parse(text)
                .orElseThrow(() -> new IOException("malformed task name: " + text));
    }

    private static CommandOutcome outcome(int number) throws IOException {
        CommandOutcome[] outcomes = CommandOutcome.values();
        if (number < 0 || number >= outcomes.length) {
            throw new IOException("unknown command outcome: " + number);
        }
        return outcomes[number];
    }
}
