package org.foxtailplank.cli.internal.config;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.foxtailplank.cli.internal.command.CliMessages;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.internal.state.MergePatch;
import org.foxtailplank.process.ProcessException;
import org.foxtailplank.process.SettingsFiles;
import org.foxtailplank.settings.ConfigurationCheck;
import org.foxtailplank.settings.SettingsProblem;

/**
 * A base with overlays by site, as texts.
 *
 * @param base base file
 * @param overlays overlay of each site
 */
record Draft(String base, Map<String, String> overlays) {
    private static final String BASE = "base";

    Draft {
        overlays = Map.copyOf(overlays);
    }

    /** Reads a base and overlays, each of which names its site, and checks them as a whole. */
    static Draft ofFiles(Path base, List<Path> overlays) throws ProcessException {
        Map<String, String> texts = new TreeMap<>();
        Map<String, Path> files = new TreeMap<>();
        for (Path file : overlays) {
            String text = SettingsFiles.text(file);
            String site = object(text, file.toString()).path("site").asText("");
            if (site.isBlank()) {
                throw ProcessException.usage(CliMessages.noSite(file.toString()));
            }
            if (texts.put(site, text) != null) {
                throw ProcessException.usage(CliMessages.sameSite(site));
            }
            files.put("overlay " + site, file);
        }
        files.put(ConfigurationCheck.BASE, base);
        Draft draft = new Draft(SettingsFiles.text(base), texts);
        draft.check(files);
        return draft;
    }

    private void check(Map<String, Path> files) throws ProcessException {
        Map<ZoneId, String> sites = new TreeMap<>();
        overlays.forEach((site, text) -> sites.put(ZoneId.of(site), text));
        List<SettingsProblem> problems = ConfigurationCheck.of(base, sites).problems();
        if (!problems.isEmpty()) {
            throw ProcessException.usage(
                    CliMessages.wrongDraft(
                            problems.stream()
                                    .map(p -> p.inFile(files.get(p.file()).toString()).toString())
                                    .toList()));
        }
    }

    /** A text, JSON with comments, as an object. */
    static ObjectNode object(String text, String name) throws ProcessException {
        return MergePatch.parse(text)
                .orElseThrow(() -> ProcessException.usage(CliMessages.notAnObject(name)));
    }

    /** All values that differ from this to another one; paths start with the file's role. */
    List<JsonDiff.Difference> differencesTo(Draft other) throws ProcessException {
        List<JsonDiff.Difference> all = new ArrayList<>();
        for (String name : names(other)) {
            for (JsonDiff.Difference d : JsonDiff.differences(tree(name), other.tree(name))) {
                all.add(new JsonDiff.Difference(name + ": " + d.path(), d.before(), d.after()));
            }
        }
        return all;
    }

    /** This with the changes that lead from one draft to another put on top. */
    Draft withChange(Draft from, Draft to) throws ProcessException {
        Map<String, String> merged = new TreeMap<>();
        for (String site : names(to)) {
            boolean removed = from.overlays.containsKey(site) && !to.overlays.containsKey(site);
            if (!site.equals(BASE) && !removed) {
                merged.put(site, patched(site, from, to));
            }
        }
        return new Draft(patched(BASE, from, to), merged);
    }

    /** The text as it is where the change doesn't touch it, so that its comments stay. */
    private String patched(String name, Draft from, Draft to) throws ProcessException {
        ObjectNode before = from.tree(name);
        ObjectNode now = tree(name);
        if (now.equals(before)) {
            return to.text(name);
        }
        ObjectNode after = to.tree(name);
        if (before.equals(after)) {
            return text(name);
        }
        JsonDiff.replay(before, after, now);
        return now.toPrettyString();
    }

    private TreeSet<String> names(Draft other) {
        TreeSet<String> names = new TreeSet<>(overlays.keySet());
        names.addAll(other.overlays.keySet());
        names.add(BASE);
        return names;
    }

    private String text(String name) {
        return name.equals(BASE) ? base : overlays.getOrDefault(name, "{}");
    }

    private ObjectNode tree(String name) throws ProcessException {
        String text = text(name);
        return text.isBlank() ? JsonNodeFactory.instance.objectNode() : object(text, name);
    }
}
