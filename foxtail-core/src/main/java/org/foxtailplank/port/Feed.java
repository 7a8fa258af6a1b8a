package org.foxtailplank.port;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Values under keys that others keep up to date and this system follows. */
public interface Feed<T> {

    /** Reads the newest value of each key. */
    void newest(Consumer<Result<T>> then);

    /** Reads what changed from a position on, and waits for the first change for so long. */
    void changes(long position, long waitMs, Consumer<Result<T>> then);

    /** What came of a read. */
    sealed interface Result<T> {}

    /**
     * Values in the order of their changes.
     *
     * @param items the values
     * @param next position from which to read on
     */
    record Page<T>(List<Item<T>> items, long next) implements Result<T> {}

    /** The changes asked for are gone; the newest values must be read again. */
    record Gap<T>() implements Result<T> {}

    /** No answer, or a refusal. */
    record Failed<T>(String reason) implements Result<T> {}

    /**
     * A value, or that there is none any more.
     *
     * @param key the key; empty where not even that could be read
     * @param value the value; empty if there is none any more or it can't be read
     * @param readable whether the record could be read; if not, what the key stood for before holds
     *     no more, or is kept: that is for the follower to decide
     */
    record Item<T>(String key, Optional<T> value, boolean readable) {
        public Item {
            if (!readable && value.isPresent()) {
                throw new IllegalArgumentException("a value from a record that can't be read");
            }
        }

        /** A value that was read, or that there is none any more. */
        public Item(String key, Optional<T> value) {
            this(key, value, true);
        }

        /** A record that can't be read: another writer's. */
        public static <T> Item<T> unreadable(String key) {
            return new Item<>(key, Optional.empty(), false);
        }
    }
}
