package org.foxtailplank.wire.internal.records;

import org.foxtailplank.request.RequestClass;
import org.foxtailplank.state.ActionOutcome;
import org.foxtailplank.state.TaskAction;
import org.foxtailplank.state.TaskOutcome;
import org.foxtailplank.state.VmAction;
import org.foxtailplank.state.VmHealth;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.WaveOrder;
import org.foxtailplank.state.WavePhase;
import org.foxtailplank.wire.generated.records.ActionOutcomeProto;
import org.foxtailplank.wire.generated.records.RequestClassProto;
import org.foxtailplank.wire.generated.records.TaskActionProto;
import org.foxtailplank.wire.generated.records.TaskOutcomeProto;
import org.foxtailplank.wire.generated.records.VmActionProto;
import org.foxtailplank.wire.generated.records.VmHealthProto;
import org.foxtailplank.wire.generated.records.WaveOrderProto;
import org.foxtailplank.wire.generated.snapshot.VmPhaseProto;
import org.foxtailplank.wire.generated.snapshot.WavePhaseProto;

/** Codecs of the enums in records and snapshots. */
final class EnumCodecs {
    static final EnumCodec<VmAction, VmActionProto> VM_ACTION =
            EnumCodec.between(VmAction.class, VmActionProto.class, "VM_ACTION_");
    static final EnumCodec<ActionOutcome, ActionOutcomeProto> ACTION_OUTCOME =
            EnumCodec.between(ActionOutcome.class, ActionOutcomeProto.class, "ACTION_OUTCOME_");
    static final EnumCodec<VmPhase, VmPhaseProto> VM_PHASE =
            EnumCodec.between(VmPhase.class, VmPhaseProto.class, "VM_PHASE_");
    static final EnumCodec<WavePhase, WavePhaseProto> WAVE_PHASE =
            EnumCodec.between(WavePhase.class, WavePhaseProto.class, "WAVE_PHASE_");
    static final EnumCodec<VmHealth, VmHealthProto> VM_HEALTH =
            EnumCodec.between(VmHealth.class, VmHealthProto.class, "VM_HEALTH_");
    static final EnumCodec<WaveOrder, WaveOrderProto> WAVE_ORDER =
            EnumCodec.between(WaveOrder.class, WaveOrderProto.class, "WAVE_ORDER_");
    static final EnumCodec<RequestClass, RequestClassProto> REQUEST_CLASS =
            EnumCodec.between(RequestClass.class, RequestClassProto.class, "REQUEST_CLASS_");
    static final EnumCodec<TaskAction, TaskActionProto> TASK_ACTION =
            EnumCodec.between(TaskAction.class, TaskActionProto.class, "TASK_ACTION_");
    static final EnumCodec<TaskOutcome, TaskOutcomeProto> TASK_OUTCOME =
            EnumCodec.between(TaskOutcome.class, TaskOutcomeProto.class, "TASK_OUTCOME_");

    private EnumCodecs() {}
}
