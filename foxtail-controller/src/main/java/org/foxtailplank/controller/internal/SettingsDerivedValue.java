package org.foxtailplank.controller.internal;

import java.util.function.Function;
import java.util.function.Supplier;
import org.foxtailplank.settings.Settings;

/**
 * Caches a value computed from the active settings and recomputes it when they change.
 *
 * @param <T> type of the value
 */
public final class SettingsDerivedValue<T> implements Supplier<T> {
    private final Supplier<Settings> mSettings;
    private final Function<Settings, T> mFactory;
    private Settings mSource;
    private T mValue;

    /** Creates a value that is computed on first use. */
    public SettingsDerivedValue(Supplier<Settings> settings, Function<Settings, T> factory) {
        mSettings = settings;
        mFactory = factory;
    }

    @Override
    public synchronized T get() {
        Settings current = mSettings.get();
        if (current != mSource) {
            mValue = mFactory.apply(current);
            mSource = current;
        }
        return mValue;
    }
}
