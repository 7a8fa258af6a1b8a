package org.foxtailplank.node;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Reads the agreements that the platform names for the deployment. */
final class AgreementReader {
    private static final String PATH = "/platform/agreements";

    private AgreementReader() {}

    /**
     * Returns the agreements' names, none if the settings don't contain a list.
     *
     * @param problems receives a line for each value that is not a name
     */
    static List<String> read(JsonNode tree, List<String> problems) {
        List<String> agreements = new ArrayList<>();
        add(tree.at(PATH), agreements, problems);
        return agreements;
    }

    /** Adds the names of a list, which the platform's template may nest or leave empty. */
    private static void add(JsonNode node, List<String> agreements, List<String> problems) {
        if (node.isArray()) {
            node.forEach(n -> add(n, agreements, problems));
        } else if (node.isTextual()) {
            agreements.add(node.asText());
        } else if (!node.isMissingNode() && !node.isNull()) {
            problems.add(PATH + " must be a list of names but contains " + node);
        }
    }
}
