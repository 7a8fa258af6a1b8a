package org.foxtailplank.controller;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.platform.FleetLog;
import org.foxtailplank.process.Log;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.settings.SettingsReader;
import org.foxtailplank.settings.SettingsResult;
import org.foxtailplank.state.Configuration;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.wire.PeerLink;

/**
 * Activates each newer configuration of the log in this process, with its zone's overlay.
 *
 * <p>Listen addresses, the platform and the peer key keep their values from startup, because a
 * process takes them from its own settings.
 */
public final class ConfigurationFollower {

    private static final Log LOG = Log.of("config");

    private final Settings mStartupSettings;
    private final ZoneId mZone;
    private final FleetLog mFleet;
    private final PeerLink mPeers;
    private final List<Consumer<Settings>> mListeners = new CopyOnWriteArrayList<>();
    private Optional<Settings> mActive = Optional.empty();
    private volatile long mVersion;

    /** Creates a follower for a node and subscribes it to the log. */
    public ConfigurationFollower(
            Settings startupSettings, NodeId node, FleetLog fleet, PeerLink peers) {
        mStartupSettings = startupSettings;
        mZone = startupSettings.nodes().get(node).zone();
        mFleet = fleet;
        mPeers = peers;
        fleet.onChange(this::refresh);
    }

    /** Calls the listener with the active configuration, if any, and with each later one. */
    public void onChange(Consumer<Settings> listener) {
        mFleet.read(
                view -> {
                    mActive.ifPresent(listener);
                    mListeners.add(listener);
                    return apply(view);
                });
    }

    /** Returns the active version; 0 while the startup settings apply. */
    public long version() {
        return mVersion;
    }

    private void refresh() {
        mFleet.read(this::apply);
    }

    private Void apply(FleetView view) {
        view.configuration().filter(c -> c.version() > mVersion).ifPresent(this::activate);
        mPeers.reportConfiguration(mVersion);
        return null;
    }

    private void activate(Configuration c) {
        SettingsReader reader = SettingsReader.base("configuration " + c.version(), c.base());
        if (c.overlays().containsKey(mZone)) {
            reader = reader.withOverlay("overlay of " + mZone, c.overlays().get(mZone));
        }
        SettingsResult result = reader.read();
        if (result instanceof SettingsResult.Invalid invalid) {
            // A newer release validated it by rules unknown to this one. The last valid
            // configuration stays active, which the version reported to peers shows.
            LOG.error(
                    "Configuration {0} is invalid for this release and is ignored: {1}",
                    c.version(), invalid.text());
            return;
        }
        Settings settings = ((SettingsResult.Valid) result).settings();
        mVersion = c.version();
        Settings effective = settings.withProcessPartsOf(mStartupSettings);
        mActive = Optional.of(effective);
        mListeners.forEach(l -> l.accept(effective));
        LOG.info("Configuration {0} is active.", c.version());
    }
}
