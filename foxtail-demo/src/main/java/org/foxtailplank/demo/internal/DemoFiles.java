package org.foxtailplank.demo.internal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.process.ProcessException;
import org.foxtailplank.process.SettingsFiles;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.settings.SettingsReader;
import org.foxtailplank.settings.SettingsResult;

/**
 * The files of one example deployment.
 *
 * @param base text of the base file
 * @param overlays text of each site's overlay
 * @param settings the base, read and checked
 * @param profile file with the callers' traffic
 */
public record DemoFiles(
        String base, Map<ZoneId, String> overlays, Settings settings, Path profile) {

    private static final String BASE = "base.jsonc";
    private static final String LOAD = "load.jsonc";
    private static final String SUFFIX = ".jsonc";

    public DemoFiles {
        overlays = Map.copyOf(overlays);
    }

    /**
     * Reads a directory that holds a base, a load profile, and an overlay named after each zone.
     */
    public static DemoFiles in(Path directory) throws ProcessException {
        Path baseFile = directory.resolve(BASE);
        String base = SettingsFiles.text(baseFile);
        Settings settings = checked(SettingsReader.base(baseFile.toString(), base));
        Map<ZoneId, String> overlays = new TreeMap<>();
        for (Path file : overlayFiles(directory)) {
            String text = SettingsFiles.text(file);
            checked(
                    SettingsReader.base(baseFile.toString(), base)
                            .withOverlay(file.toString(), text));
            String name = file.getFileName().toString();
            overlays.put(ZoneId.of(name.substring(0, name.length() - SUFFIX.length())), text);
        }
        return new DemoFiles(base, overlays, settings, directory.resolve(LOAD));
    }

    private static Settings checked(SettingsReader reader) throws ProcessException {
        SettingsResult result = reader.read();
        if (result instanceof SettingsResult.Invalid invalid) {
            throw ProcessException.usage(invalid.text());
        }
        return ((SettingsResult.Valid) result).settings();
    }

    private static Iterable<Path> overlayFiles(Path directory) throws ProcessException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.filter(f -> isOverlay(f.getFileName().toString())).sorted().toList();
        } catch (IOException e) {
            throw ProcessException.usage(
                    "The examples can't be read in "
                            + directory
                            + ". Give their place by --examples.");
        }
    }

    private static boolean isOverlay(String name) {
        return name.endsWith(SUFFIX) && !name.equals(BASE) && !name.equals(LOAD);
    }
}
