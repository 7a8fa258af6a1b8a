package org.foxtailplank.controller.internal;

import java.util.function.Function;
import java.util.function.Supplier;
import org.foxtailplank.settings.Settings;

/**
 * Something made from the settings in force, and made anew when other settings come in force.
 *
 * @param <T> what is made
 */
public final class SettingsDerivedValue<T> implements Supplier<T> {
    private final Supplier<Settings> mSettings;
    private final Function<Settings, T> mFactory;
    private Settings mSource;
    private T mValue;

    /** Makes a value from settings that may change. */
    public SettingsDerivedValue(Supplier<Settings> settings, Function<Settings, T> maker) {
        mSettings = settings;
        mFactory = maker;
    }

    @Override
    public synchronized T get() {
        Settings now = mSettings.get();
        if (now != mSource) {
            mValue = mFactory.apply(now);
            mSource = now;
        }
        return mValue;
    }
}
