package org.foxtailplank.port;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A change feed of keyed values that other systems maintain.
 *
 * @param <T> type of the values
 */
public interface ChangeFeed<T> {

    /** Reads the latest value of each key. */
    void latest(Consumer<Result<T>> callback);

    /** Reads the changes from a position on; waits up to {@code waitMs} for the first one. */
    void changes(long position, long waitMs, Consumer<Result<T>> callback);

    /** Result of a read. */
    sealed interface Result<T> {}

    /**
     * A page of values, in the order of their changes.
     *
     * @param items the values
     * @param next position of the next page
     * @param last whether there were no further values when the page was read
     */
    record Page<T>(List<Item<T>> items, long next, boolean last) implements Result<T> {}

    /** The requested changes have expired; the latest values must be read again. */
    record Gap<T>() implements Result<T> {}

    /** The read timed out or was rejected. */
    record Failed<T>(String reason) implements Result<T> {}

    /**
     * A changed value, or the removal of one.
     *
     * @param key the key; empty if it couldn't be parsed
     * @param value the value; empty if it was removed or couldn't be parsed
     * @param problem why the record couldn't be parsed; if it couldn't, the reader decides whether
     *     to keep the previous value of the key
     */
    record Item<T>(String key, Optional<T> value, Optional<String> problem) {
        public Item {
            if (problem.isPresent() && value.isPresent()) {
                throw new IllegalArgumentException("an unreadable item must not have a value");
            }
        }

        /** Creates an item for a changed value, or for a removal if the value is empty. */
        public Item(String key, Optional<T> value) {
            this(key, value, Optional.empty());
        }

        /** Creates an item for a record that couldn't be parsed. */
        public static <T> Item<T> unreadable(String key, String problem) {
            return new Item<>(key, Optional.empty(), Optional.of(problem));
        }

        /** Whether the record could be parsed. */
        public boolean readable() {
            return problem.isEmpty();
        }
    }
}
