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
 * Puts each newer configuration of the log in force in this process, with the overlay of its zone.
 *
 * <p>Where the process itself listens, the platform and the peers' key stay those of its start: a
 * process learns its addresses from its own settings.
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

    /** Follows the configuration for a node. */
    public ConfigurationFollower(Settings start, NodeId node, FleetLog fleet, PeerLink peers) {
        mStartupSettings = start;
        mZone = start.nodes().get(node).zone();
        mFleet = fleet;
        mPeers = peers;
        fleet.onChange(this::refresh);
    }

    /** Calls back with the configuration that is in force, if any, and each that comes in force. */
    public void onChange(Consumer<Settings> listener) {
        mFleet.read(
                view -> {
                    mActive.ifPresent(listener);
                    mListeners.add(listener);
                    return apply(view);
                });
    }

    /** Version in force; 0 for the settings of the start. */
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
            // A newer program checked it by rules that this one doesn't know. The last good
            // configuration stays in force here, and the version told to peers shows it.
            LOG.error("Configuration {0} can't be read here: {1}", c.version(), invalid.text());
            return;
        }
        Settings settings = ((SettingsResult.Valid) result).settings();
        mVersion = c.version();
        Settings effective = settings.withProcessPartsOf(mStartupSettings);
        mActive = Optional.of(effective);
        mListeners.forEach(l -> l.accept(effective));
        LOG.info("Configuration {0} is in force.", c.version());
    }
}
