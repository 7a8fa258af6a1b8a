package org.foxtailplank.organisation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The organisations of one version of the configuration, indexed by name and by API key. */
public final class Organisations {
    /** No organisations, as on deployments that don't use them. */
    public static final Organisations NONE = new Organisations(List.of());

    private final List<Organisation> mAll;
    private final Map<String, Organisation> mByName = new HashMap<>();
    private final Map<String, Organisation> mByKey = new HashMap<>();

    /** Thrown if a name or a key belongs to two organisations; the message contains no key. */
    public static final class DuplicateException extends Exception {
        private static final long serialVersionUID = 1L;

        DuplicateException(String message) {
            super(message);
        }
    }

    private Organisations(List<Organisation> all) {
        mAll = List.copyOf(all);
        for (Organisation o : all) {
            mByName.put(o.name(), o);
            o.keys().forEach(k -> mByKey.put(k, o));
        }
    }

    /** Creates an index of organisations with distinct names and keys. */
    public static Organisations of(List<Organisation> all) throws DuplicateException {
        Organisations organisations = new Organisations(all);
        if (organisations.mByName.size() < all.size()) {
            throw new DuplicateException("two organisations have the same name");
        }
        int keys = 0;
        for (Organisation o : all) {
            keys += o.keys().size();
        }
        if (organisations.mByKey.size() < keys) {
            throw new DuplicateException("two organisations have the same key");
        }
        return organisations;
    }

    public List<Organisation> all() {
        return mAll;
    }

    public Optional<Organisation> byName(String name) {
        return Optional.ofNullable(mByName.get(name));
    }

    /** Returns the organisation that a key identifies. */
    public Optional<Organisation> byKey(String key) {
        return Optional.ofNullable(mByKey.get(key));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Organisations o && mAll.equals(o.mAll);
    }

    @Override
    public int hashCode() {
        return mAll.hashCode();
    }

    @Override
    public String toString() {
        return mAll.toString();
    }
}
