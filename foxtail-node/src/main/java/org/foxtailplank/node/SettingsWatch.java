package org.foxtailplank.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import org.foxtailplank.node.log.NodeLog;

/** Reads the settings again when a signal says so, or when the file has changed without one. */
public final class SettingsWatch {
    /** How often the file is looked at, in milliseconds. */
    private static final long POLL_INTERVAL_MS = 1000;

    private final Path mFile;
    private final Timers mTimers;
    private final NodeLog mLog;
    private final Consumer<NodeSettings> mListener;
    private NodeSettings mSettings;
    private long mModifiedMs;

    public SettingsWatch(
            Path file,
            NodeSettings settings,
            Timers timers,
            NodeLog log,
            Consumer<NodeSettings> changed) {
        mFile = file;
        mSettings = settings;
        mTimers = timers;
        mLog = log;
        mListener = changed;
    }

    /** Begins to look. */
    public void watch() {
        mTimers.after(POLL_INTERVAL_MS, this::poll);
    }

    private void poll() {
        watch();
        long modified = mFile.toFile().lastModified();
        if (modified != mModifiedMs) {
            mModifiedMs = modified;
            reload("changed");
        }
    }

    /** Reads the file; settings that are wrong change nothing. */
    public void reload(String why) {
        String outcome;
        try {
            NodeSettings read = NodeSettingsReader.parse(Files.readString(mFile));
            outcome = read.equals(mSettings) ? "the same" : "in force";
            if (!read.equals(mSettings)) {
                mSettings = read;
                mListener.accept(read);
            }
        } catch (SettingsException | IOException e) {
            outcome = "kept the old ones: " + e.getMessage();
        }
        mLog.line("reload").with("why", why).with("outcome", outcome).write();
    }
}
