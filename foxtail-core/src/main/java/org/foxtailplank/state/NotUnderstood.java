package org.foxtailplank.state;

import java.util.Set;

/**
 * A change whose kind is newer than this program; the objects that it touches are frozen here.
 *
 * @param touches objects that its envelope names, as far as their kinds are known
 */
public record NotUnderstood(Set<ObjectKey> touches) implements Change {
    public NotUnderstood {
        touches = Set.copyOf(touches);
    }
}
