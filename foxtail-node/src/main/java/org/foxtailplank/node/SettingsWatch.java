package org.foxtailplank.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import org.foxtailplank.node.log.NodeLog;

/** Reloads the settings on a signal or when the file has changed. */
public final class SettingsWatch {
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
            Consumer<NodeSettings> listener) {
        mFile = file;
        mSettings = settings;
        mTimers = timers;
        mLog = log;
        mListener = listener;
    }

    /** Starts polling the file's modification time. */
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

    /** Reloads the file; invalid settings are logged and change nothing. */
    public void reload(String why) {
        String outcome;
        try {
            NodeSettings read = NodeSettingsReader.parse(Files.readString(mFile));
            outcome = read.equals(mSettings) ? "unchanged" : "applied";
            if (!read.equals(mSettings)) {
                mSettings = read;
                mListener.accept(read);
            }
        } catch (SettingsException | IOException e) {
            outcome = "rejected: " + e.getMessage();
        }
        mLog.line("reload").with("why", why).with("outcome", outcome).write();
    }
}
