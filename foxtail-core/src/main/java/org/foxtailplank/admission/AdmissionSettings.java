package org.foxtailplank.admission;

import java.util.Map;

/**
 * Which submissions each queue refuses.
 *
 * @param mode mode of the queues that have none of their own
 * @param modesByQueue modes of single queues, by the queue's name
 */
public record AdmissionSettings(AdmissionMode mode, Map<String, AdmissionMode> modesByQueue) {
    /** Accepts all jobs. */
    public static final AdmissionSettings OFF = new AdmissionSettings(AdmissionMode.OFF, Map.of());

    public AdmissionSettings {
        modesByQueue = Map.copyOf(modesByQueue);
    }

    /** Returns the mode of a queue. */
    public AdmissionMode mode(String queue) {
        return modesByQueue.getOrDefault(queue, mode);
    }

    /** Whether any queue may refuse jobs. */
    public boolean isOn() {
        return mode != AdmissionMode.OFF
                || modesByQueue.values().stream().anyMatch(m -> m != AdmissionMode.OFF);
    }
}
