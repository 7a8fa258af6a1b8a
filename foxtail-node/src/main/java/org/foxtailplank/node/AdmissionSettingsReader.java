package org.foxtailplank.node;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.admission.AdmissionMode;
import org.foxtailplank.admission.AdmissionSettings;

/** Parses the settings of admission, all of which are optional. */
final class AdmissionSettingsReader {
    private static final String MODE = "/jobs/admission";
    private static final String MODES_BY_QUEUE = "/jobs/admissionByQueue";
    private final JsonNode mTree;
    private final List<String> mProblems;

    /**
     * Creates a reader.
     *
     * @param problems receives a line for each value that is not valid
     */
    AdmissionSettingsReader(JsonNode tree, List<String> problems) {
        mTree = tree;
        mProblems = problems;
    }

    AdmissionSettings read() {
        JsonNode mode = mTree.at(MODE);
        return new AdmissionSettings(
                mode.isMissingNode() ? AdmissionMode.OFF : mode(MODE, mode), modesByQueue());
    }

    private Map<String, AdmissionMode> modesByQueue() {
        JsonNode node = mTree.at(MODES_BY_QUEUE);
        Map<String, AdmissionMode> modes = new HashMap<>();
        if (node.isObject()) {
            node.fields()
                    .forEachRemaining(
                            e ->
                                    modes.put(
                                            e.getKey(),
                                            mode(MODES_BY_QUEUE + '/' + e.getKey(), e.getValue())));
        } else if (!node.isMissingNode()) {
            mProblems.add(MODES_BY_QUEUE + " must map names of queues to modes but is " + node);
        }
        return modes;
    }

    private AdmissionMode mode(String path, JsonNode node) {
        Optional<AdmissionMode> mode =
                node.isTextual() ? AdmissionMode.named(node.asText()) : Optional.empty();
        if (mode.isEmpty()) {
            List<String> names =
                    Arrays.stream(AdmissionMode.values()).map(AdmissionMode::settingName).toList();
            mProblems.add(path + " is " + node + "; it must be one of " + String.join(", ", names));
        }
        return mode.orElse(AdmissionMode.OFF);
    }
}
