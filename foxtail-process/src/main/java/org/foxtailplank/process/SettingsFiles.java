package org.foxtailplank.process;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.settings.SettingsReader;
import org.foxtailplank.settings.SettingsResult;

/** Loads settings from files. */
public final class SettingsFiles {
    private SettingsFiles() {}

    /** Loads and validates a base file with an optional overlay. */
    public static Settings load(Path base, Optional<Path> overlay) throws ProcessException {
        SettingsResult result = read(base, overlay.map(List::of).orElse(List.of()));
        if (result instanceof SettingsResult.Invalid invalid) {
            throw ProcessException.usage(Messages.invalidSettings(invalid.text()));
        }
        return ((SettingsResult.Valid) result).settings();
    }

    /** Reads and validates a base file with overlays. */
    public static SettingsResult read(Path base, List<Path> overlays) throws ProcessException {
        SettingsReader reader = SettingsReader.base(base.toString(), text(base));
        for (Path overlay : overlays) {
            reader = reader.withOverlay(overlay.toString(), text(overlay));
        }
        return reader.read();
    }

    /** Returns the content of a file. */
    public static String text(Path file) throws ProcessException {
        try {
            return Files.readString(file);
        } catch (NoSuchFileException e) {
            throw ProcessException.usage(Messages.unreadableFile(file, "it does not exist"));
        } catch (CharacterCodingException e) {
            throw ProcessException.usage(Messages.unreadableFile(file, "it is not UTF-8 text"));
        } catch (IOException e) {
            throw ProcessException.usage(Messages.unreadableFile(file, e.toString()));
        }
    }
}
