package org.foxtailplank.state;

import java.util.Set;

/**
 * A change of a kind that this program version does not know; freezes the objects that it touches.
 *
 * @param touches objects of known kinds that the record's envelope names
 */
public record UnknownChange(Set<ObjectKey> touches) implements Change {
    public UnknownChange {
        touches = Set.copyOf(touches);
    }
}
