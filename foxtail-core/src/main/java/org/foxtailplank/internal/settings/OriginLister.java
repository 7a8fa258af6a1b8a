package org.foxtailplank.internal.settings;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.foxtailplank.settings.SettingsOrigins;

/** Lists the values of merged nodes with their places. */
public final class OriginLister {
    private final List<SettingsOrigins.Value> mValues = new ArrayList<>();

    private OriginLister() {}

    /** All values below a root, and the defaults that were taken. */
    public static SettingsOrigins list(
            Node.Members root, Collection<SettingsOrigins.Value> defaults) {
        OriginLister lister = new OriginLister();
        lister.add("", root);
        lister.mValues.addAll(defaults);
        return new SettingsOrigins(lister.mValues);
    }

    private void add(String path, Node node) {
        if (node instanceof Node.Members members) {
            members.members().forEach((key, value) -> add(Paths.join(path, key), value));
        } else {
            mValues.add(new SettingsOrigins.Value(path, text(node), node.place().toString()));
        }
    }

    private static String text(Node node) {
        if (node instanceof Node.Items items) {
            return "["
                    + String.join(", ", items.items().stream().map(OriginLister::text).toList())
                    + "]";
        }
        return node.describe();
    }
}
