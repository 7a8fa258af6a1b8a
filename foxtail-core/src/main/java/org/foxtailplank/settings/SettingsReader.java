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

    /** What a file is laid over. */
    private enum Layer {
        /** The first file. */
        BASE,
        /** Goes over the base, for one site. */
        OVERLAY,
        /** Changes the file that comes before it. */
        PATCH
    }

    /** A file by name and text. */
    private record File(Layer layer, String name, String text) {}

    private SettingsReader(List<File> files) {
        mFiles = List.copyOf(files);
    }

    /** Starts with the text of a base file. */
    public static SettingsReader base(String fileName, String text) {
        return new SettingsReader(List.of(new File(Layer.BASE, fileName, text)));
    }

    /** Lays an overlay over what was given so far. */
    public SettingsReader withOverlay(String fileName, String text) {
        return with(new File(Layer.OVERLAY, fileName, text));
    }

    /** Applies a JSON merge patch to the file that was given last. */
    public SettingsReader withPatch(String fileName, String text) {
        return with(new File(Layer.PATCH, fileName, text));
    }

    private SettingsReader with(File file) {
        List<File> files = new ArrayList<>(mFiles);
        files.add(file);
        return new SettingsReader(files);
    }

    /** The site that the last file names. */
    Optional<String> site() {
        return parse(mFiles.get(mFiles.size() - 1), new Problems()).flatMap(OverlayCheck::siteOf);
    }

    /** Reads and checks the merged files. */
    public SettingsResult read() {
        Problems problems = new Problems();
        List<Node.Members> layers = new ArrayList<>();
        for (File file : mFiles) {
            Optional<Node.Members> members = parse(file, problems);
            if (members.isEmpty() && file.layer() == Layer.BASE) {
                return new SettingsResult.Invalid(problems.list());
            }
            members.ifPresent(m -> add(file.layer(), m, layers));
        }
        return check(layers, problems);
    }

    private static void add(Layer layer, Node.Members members, List<Node.Members> layers) {
        int last = layers.size() - 1;
        if (layer == Layer.PATCH) {
            layers.set(last, NodeMerge.merge(layers.get(last), members));
        } else {
            layers.add(members);
        }
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
