package org.foxtailplank.cli.internal.config;

import java.util.List;
import java.util.Map;

/** What the administration API says about configurations and nodes. */
final class Views {
    private Views() {}

    /** The configuration in force at a node. */
    record Config(long version, String base, Map<String, String> overlays, String who, String why) {
        Draft draft() {
            return new Draft(base, overlays);
        }
    }

    /** A configuration to be put in force, on condition of the version that it was made from. */
    record Publication(
            long version, String base, Map<String, String> overlays, String who, String why) {
        static Publication of(Draft draft, long from, String who, String why) {
            return new Publication(from, draft.base(), draft.overlays(), who, why);
        }
    }

    /** A change that took effect. */
    record Applied(long version) {}

    /** One of the system's nodes. */
    record NodeRow(String id, String zone, String admin) {}

    /** All nodes. */
    record Nodes(List<NodeRow> items) {}
}
