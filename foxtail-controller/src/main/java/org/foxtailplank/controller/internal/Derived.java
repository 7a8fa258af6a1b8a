package org.foxtailplank.controller.internal;

import java.util.function.Function;
import java.util.function.Supplier;
import org.foxtailplank.settings.Settings;

/**
 * Something made from the settings in force, and made anew when other settings come in force.
 *
 * @param <T> what is made
 */
public final class Derived<T> implements Supplier<T> {
    private final Supplier<Settings> mSettings;
    private final Function<Settings, T> mMaker;
    private Settings mMadeFrom;
    private T mValue;

    /** Makes a value from settings that may change. */
    public Derived(Supplier<Settings> settings, Function<Settings, T> maker) {
        mSettings = settings;
        mMaker = maker;
    }

    @Override
    public synchronized T get() {
        Settings now = mSettings.get();
        if (now != mMadeFrom) {
            mValue = mMaker.apply(now);
            mMadeFrom = now;
        }
        return mValue;
    }
}
