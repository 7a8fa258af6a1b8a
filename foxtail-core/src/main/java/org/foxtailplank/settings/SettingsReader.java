package org.foxtailplank.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.internal.settings.Defaults;
import org.foxtailplank.internal.settings.Node;
import org.foxtailplank.internal.settings.NodeMerge;
import org.foxtailplank.internal.settings.NodeParser;
import org.foxtailplank.internal.settings.OriginLister;
import org.foxtailplank.internal.settings.OverlayCheck;
import org.foxtailplank.internal.settings.Problems;
import org.foxtailplank.internal.settings.SettingsBuilder;

/** Reads a base file with the overlays of sites, and finds every problem at once. */
public final class SettingsReader {
    private final List<File> mFiles;

    /** A file by name and text. */
    private record File(String name, String text) {}

    private SettingsReader(List<File> files) {
        mFiles = List.copyOf(files);
    }

    /** Starts with the text of a base file. */
    public static SettingsReader base(String fileName, String text) {
        return new SettingsReader(List.of(new File(fileName, text)));
    }

    /** Lays an overlay over what was given so far. */
    public SettingsReader withOverlay(String fileName, String text) {
        List<File> files = new ArrayList<>(mFiles);
        files.add(new File(fileName, text));
        return new SettingsReader(files);
    }

    /** The site that the last file names. */
    Optional<String> site() {
        return parse(mFiles.get(mFiles.size() - 1), new Problems()).flatMap(OverlayCheck::siteOf);
    }

    /** Reads and checks the merged files. */
    public SettingsResult read() {
        Problems problems = new Problems();
        Optional<Node.Members> base = parse(mFiles.get(0), problems);
        List<Node.Members> layers = new ArrayList<>();
        base.ifPresent(layers::add);
        for (File overlay : mFiles.subList(1, mFiles.size())) {
            parse(overlay, problems).ifPresent(layers::add);
        }
        return base.isPresent()
                ? check(layers, problems)
                : new SettingsResult.Invalid(problems.list());
    }

    private static SettingsResult check(List<Node.Members> layers, Problems problems) {
        Node.Members base = layers.get(0);
        OverlayCheck.checkBase(base, problems);
        Node.Members merged = base;
        for (Node.Members overlay : layers.subList(1, layers.size())) {
            OverlayCheck.check(base, overlay, problems);
            merged = NodeMerge.merge(merged, overlay);
        }
        Defaults defaults = new Defaults();
        Settings settings = SettingsBuilder.build(merged, problems, defaults);
        return problems.isEmpty()
                ? new SettingsResult.Valid(settings, OriginLister.list(merged, defaults.values()))
                : new SettingsResult.Invalid(problems.list());
    }

    private static Optional<Node.Members> parse(File file, Problems problems) {
        return NodeParser.parse(file.name(), file.text(), problems);
    }
}
