package org.foxtailplank.internal.settings;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Checks that an overlay names its site and changes only what a site may decide for itself.
 *
 * <p>Pools, budgets, quotas and the like are agreed between all sites. Were a site to hold another
 * view of them, two sites could put one VM into two pools, each by its own settings; so an overlay
 * can't touch them.
 */
public final class OverlayCheck {
    private static final String SITE = "site";
    private static final Set<String> OWN_SECTIONS = Set.of("fleet", "limits");
    private static final Map<String, Set<String>> OWN_KEYS =
            Map.of(
                    "platform", Set.of("address", "timeout"),
                    "peers", Set.of("heartbeat", "silence"));
    private static final Set<String> OWN_SERVICE_KEYS =
            Set.of("objective", "deadline", "requestClass");

    private final Node.Members mBase;
    private final Problems mProblems;
    private final String mSite;

    private OverlayCheck(Node.Members base, String site, Problems problems) {
        mBase = base;
        mSite = site;
        mProblems = problems;
    }

    /** Checks a base on its own. */
    public static void checkBase(Node.Members base, Problems problems) {
        if (base.members().containsKey(SITE)) {
            problems.siteInBase(base.members().get(SITE).place());
        }
    }

    /** Checks an overlay against its base. */
    public static void check(Node.Members base, Node.Members overlay, Problems problems) {
        Set<String> zones = zones(base);
        Node site = overlay.members().get(SITE);
        if (site == null) {
            problems.overlayWithoutSite(overlay.place(), zones);
            return;
        }
        if (!(site instanceof Node.Scalar text) || !zones.contains(text.text())) {
            String name = site instanceof Node.Scalar s ? s.text() : site.describe();
            problems.overlayForUnknownZone(site.place(), name, zones);
            return;
        }
        new OverlayCheck(base, text.text(), problems).sections(overlay);
    }

    /** The zone that an overlay names. */
    public static Optional<String> siteOf(Node.Members overlay) {
        return overlay.members().get(SITE) instanceof Node.Scalar s
                ? Optional.of(s.text())
                : Optional.empty();
    }

    private static Set<String> zones(Node.Members base) {
        Set<String> zones = new TreeSet<>();
        if (base.members().get("zones") instanceof Node.Members members) {
            members.members()
                    .keySet()
                    .forEach(z -> zones.addAll(NameRange.expand(z).orElse(List.of())));
        }
        return zones;
    }

    private void sections(Node.Members overlay) {
        overlay.members()
                .forEach(
                        (key, value) -> {
                            if (!key.equals(SITE) && mBase.members().containsKey(key)) {
                                section(key, value);
                            }
                        });
    }

    private void section(String key, Node value) {
        if (OWN_SECTIONS.contains(key)) {
            return;
        }
        if (!(value instanceof Node.Members members)) {
            mProblems.overlayChangesShared(value.place(), key);
        } else if (OWN_KEYS.containsKey(key)) {
            onlyKeys(key, members, OWN_KEYS.get(key));
        } else if (key.equals("services")) {
            services(members);
        } else if (key.equals("zones")) {
            onlyOwnZone(members);
        } else if (key.equals("nodes")) {
            onlyOwnNodes(members);
        } else {
            mProblems.overlayChangesShared(value.place(), key);
        }
    }

    private void onlyKeys(String path, Node.Members members, Set<String> allowed) {
        members.members()
                .forEach(
                        (key, value) -> {
                            if (!allowed.contains(key)) {
                                mProblems.overlayChangesShared(
                                        value.place(), Paths.join(path, key));
                            }
                        });
    }

    private void services(Node.Members services) {
        services.members()
                .forEach(
                        (name, value) -> {
                            String path = Paths.join("services", name);
                            if (value instanceof Node.Members members
                                    && baseHas("services", name)) {
                                onlyKeys(path, members, OWN_SERVICE_KEYS);
                            } else {
                                mProblems.overlayChangesShared(value.place(), path);
                            }
                        });
    }

    private void onlyOwnZone(Node.Members zones) {
        zones.members()
                .forEach(
                        (name, value) -> {
                            if (!name.equals(mSite)) {
                                mProblems.overlayChangesOtherSite(
                                        value.place(), Paths.join("zones", name), mSite);
                            }
                        });
    }

    private void onlyOwnNodes(Node.Members nodes) {
        nodes.members()
                .forEach(
                        (name, value) -> {
                            if (!mSite.equals(zoneOfNode(name, value))) {
                                mProblems.overlayChangesOtherSite(
                                        value.place(), Paths.join("nodes", name), mSite);
                            }
                        });
    }

    private String zoneOfNode(String name, Node patch) {
        if (baseHas("nodes", name)) {
            Node.Members nodes = (Node.Members) mBase.members().get("nodes");
            return zoneIn(nodes.members().get(name));
        }
        return zoneIn(patch);
    }

    private static String zoneIn(Node node) {
        return node instanceof Node.Members members
                        && members.members().get("zone") instanceof Node.Scalar zone
                ? zone.text()
                : "";
    }

    private boolean baseHas(String section, String name) {
        return mBase.members().get(section) instanceof Node.Members members
                && members.members().containsKey(name);
    }
}
