package org.foxtailplank.node.journal;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.AdviceTiming;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.Timetable;
import org.foxtailplank.organisation.Organisation;

/** Encodes and decodes job definitions as protobuf fields. */
final class JobDefinitionCodec {
    private static final int STEP_FIELD = 5;
    private static final int ORGANISATION_FIELD = 18;

    private JobDefinitionCodec() {}

    static void write(CodedOutputStream out, JobDefinition definition) throws IOException {
        out.writeString(1, definition.id());
        out.writeString(2, definition.route());
        out.writeString(3, definition.service());
        out.writeString(4, definition.text());
        for (TaskStep s : definition.steps()) {
            JournalCodec.writeMessage(out, STEP_FIELD, o -> writeStep(o, s));
        }
        out.writeInt64(6, definition.timetable().startMs());
        out.writeInt64(7, definition.timetable().periodMs());
        out.writeInt32(8, definition.timetable().runs());
        QueuePolicy policy = definition.policy();
        out.writeInt32(9, policy.priority());
        out.writeInt32(10, policy.maxAttempts());
        out.writeDouble(11, policy.stretch());
        out.writeInt64(12, policy.sloMs());
        out.writeInt64(13, definition.acceptedMs());
        if (policy.advice().isPresent()) {
            out.writeInt64(14, policy.advice().get().baseMs());
            out.writeInt64(15, policy.advice().get().perWorkerMs());
            out.writeInt64(16, policy.advice().get().validMs());
        }
        out.writeInt64(17, definition.configVersion());
        if (!definition.organisation().isEmpty()) {
            out.writeString(ORGANISATION_FIELD, definition.organisation());
        }
    }

    static JobDefinition read(CodedInputStream in) throws IOException {
        String[] texts = new String[5];
        long[] numbers = new long[18];
        List<TaskStep> steps = new ArrayList<>();
        String organisation = Organisation.NONE;
        double stretch = 1;
        boolean hasAdvice = false;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            int field = WireFormat.getTagFieldNumber(tag);
            if (field < STEP_FIELD) {
                texts[field] = in.readString();
            } else if (field == STEP_FIELD) {
                steps.add(readStep(in.readBytes().newCodedInput()));
            } else if (field == 11) {
                stretch = in.readDouble();
            } else if (field == ORGANISATION_FIELD) {
                organisation = in.readString();
            } else if (field < numbers.length) {
                numbers[field] = in.readInt64();
                hasAdvice |= field == 14;
            } else {
                in.skipField(tag);
            }
        }
        Optional<AdviceTiming> adviceTiming =
                hasAdvice
                        ? Optional.of(new AdviceTiming(numbers[14], numbers[15], numbers[16]))
                        : Optional.empty();
        for (int f = 1; f < texts.length; f++) {
            require(texts[f] != null, "string field " + f);
        }
        require(!texts[1].isEmpty(), "ID");
        validateSteps(steps, numbers[8]);
        return new JobDefinition(
                texts[1],
                texts[2],
                texts[3],
                texts[4],
                steps,
                new Timetable(numbers[6], numbers[7], (int) numbers[8]),
                new QueuePolicy(
                        (int) numbers[9], (int) numbers[10], stretch, numbers[12], adviceTiming),
                numbers[13],
                numbers[17],
                organisation);
    }

    /** Rejects invalid dependencies, and more tasks than a job may have. */
    private static void validateSteps(List<TaskStep> steps, long runs) throws IOException {
        long tasks = 0;
        for (int s = 0; s < steps.size(); s++) {
            require(steps.get(s).tasks() > 0, "task count of step " + s);
            tasks += steps.get(s).tasks();
            for (int dependency : steps.get(s).dependsOn()) {
                require(dependency >= 0 && dependency < s, "dependency of step " + s);
            }
        }
        require(tasks > 0 && tasks <= JobDefinition.MAX_TASKS, "total task count");
        require(runs > 0 && runs <= JobDefinition.MAX_TASKS / tasks, "run count");
    }

    private static void require(boolean valid, String subject) throws IOException {
        if (!valid) {
            throw new IOException("job has a missing or invalid " + subject);
        }
    }

    private static void writeStep(CodedOutputStream out, TaskStep step) throws IOException {
        out.writeInt32(1, step.tasks());
        out.writeInt64(2, step.demand().milliProcessors());
        out.writeInt64(3, step.demand().memoryBytes());
        out.writeInt32(4, step.demand().accelerators());
        out.writeInt64(5, step.estimateMs());
        for (int dependency : step.dependsOn()) {
            out.writeInt32(6, dependency);
        }
        PlacementConstraints placement = step.placement();
        out.writeBool(7, placement.gang());
        out.writeBool(8, placement.sameRack());
        out.writeString(9, placement.requiredLabel());
        out.writeString(10, placement.dataRack());
        out.writeInt32(11, placement.maxPerWorker());
        RunMode mode = step.mode();
        out.writeBool(12, mode.speculative());
        out.writeBool(13, mode.standing());
        out.writeBool(14, mode.checkpoints());
        out.writeBool(15, mode.opportunistic());
        out.writeInt64(16, mode.latencyObjectiveMs());
        out.writeInt32(17, mode.maxUnavailable());
    }

    private static TaskStep readStep(CodedInputStream in) throws IOException {
        long[] numbers = new long[18];
        String requiredLabel = "";
        String dataRack = "";
        List<Integer> dependsOn = new ArrayList<>();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            int field = WireFormat.getTagFieldNumber(tag);
            switch (field) {
                case 6 -> dependsOn.add(in.readInt32());
                case 9 -> requiredLabel = in.readString();
                case 10 -> dataRack = in.readString();
                default -> {
                    if (field < numbers.length) {
                        numbers[field] = in.readInt64();
                    } else {
                        in.skipField(tag);
                    }
                }
            }
        }
        return new TaskStep(
                (int) numbers[1],
                new Resources(numbers[2], numbers[3], (int) numbers[4]),
                numbers[5],
                dependsOn,
                new PlacementConstraints(
                        numbers[7] != 0,
                        numbers[8] != 0,
                        requiredLabel,
                        dataRack,
                        (int) numbers[11]),
                new RunMode(
                        numbers[12] != 0,
                        numbers[13] != 0,
                        numbers[14] != 0,
                        numbers[15] != 0,
                        numbers[16],
                        (int) numbers[17]));
    }
}
