package org.foxtailplank.internal.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.request.RequestClass;
import org.foxtailplank.settings.FleetSettings;
import org.foxtailplank.settings.LimitSettings;
import org.foxtailplank.settings.NodeSettings;
import org.foxtailplank.settings.PeerSettings;
import org.foxtailplank.settings.PlatformSettings;
import org.foxtailplank.settings.PoolSettings;
import org.foxtailplank.settings.RackSettings;
import org.foxtailplank.settings.Role;
import org.foxtailplank.settings.ServiceSettings;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.settings.TeamSettings;
import org.foxtailplank.settings.VmSettings;
import org.foxtailplank.settings.ZoneSettings;

/** Makes settings of the merged nodes and reports every value that is not allowed. */
public final class SettingsBuilder {
    private static final int MANY = 1_000_000;
    private static final int MIN_KEY_LENGTH = 16;

    private final Problems mProblems;
    private final Section mRoot;
    private final Map<ZoneId, ZoneSettings> mZones = new LinkedHashMap<>();
    private final Map<RackId, RackSettings> mRacks = new LinkedHashMap<>();
    private final Map<VmId, VmSettings> mVms = new LinkedHashMap<>();
    private final Map<ServiceId, ServiceSettings> mServices = new LinkedHashMap<>();
    private final Map<PoolId, PoolSettings> mPools = new LinkedHashMap<>();
    private final Map<TeamId, TeamSettings> mTeams = new LinkedHashMap<>();
    private final Map<NodeId, NodeSettings> mNodes = new LinkedHashMap<>();

    private SettingsBuilder(Node.Members root, Problems problems, Defaults defaults) {
        mProblems = problems;
        mRoot = new Section(root, "", problems, defaults);
    }

    /** Builds settings; they may be used only when no problem was reported. */
    public static Settings build(Node.Members root, Problems problems, Defaults defaults) {
        return new SettingsBuilder(root, problems, defaults).settings();
    }

    private Settings settings() {
        mRoot.optionalText("site");
        String deployment = mRoot.text("deployment", "the name of the deployment");
        readZones();
        VmTypes types = VmTypes.read(mRoot.named("vmTypes"), mProblems);
        Map<String, Section> racks = mRoot.named("racks");
        racks.forEach((name, section) -> readRack(name, section, types));
        Map<String, Section> services = mRoot.named("services");
        services.forEach((name, s) -> mServices.put(ServiceId.of(name), service(s)));
        Map<String, Section> pools = mRoot.named("pools");
        pools.forEach((name, s) -> mPools.put(PoolId.of(name), pool(s)));
        Map<String, Section> teams = mRoot.named("teams");
        teams.forEach((name, s) -> mTeams.put(TeamId.of(name), team(s)));
        Map<String, Section> nodes = mRoot.named("nodes");
        nodes.forEach((name, s) -> mNodes.put(NodeId.of(name), node(s)));
        Settings settings =
                new Settings(
                        deployment,
                        fleet(mRoot.section("fleet")),
                        mZones,
                        mRacks,
                        mVms,
                        mServices,
                        mPools,
                        mTeams,
                        mNodes,
                        platform(mRoot.section("platform")),
                        peers(mRoot.section("peers")),
                        limits(mRoot.section("limits")));
        mRoot.finish();
        PoolCheck.check(mVms.keySet(), mPools, mRoot, pools, mProblems);
        BudgetCheck.check(settings, services, mProblems);
        NodeCheck.check(mNodes, nodes, mTeams, teams, mProblems);
        return settings;
    }

    private void readZones() {
        Map<String, Section> zones = mRoot.named("zones");
        if (zones.isEmpty()) {
            mProblems.missing(mRoot.place("zones"), "zones", "at least one availability zone");
        }
        zones.forEach(
                (name, s) -> {
                    ZoneSettings zone =
                            new ZoneSettings(
                                    s.duration("oneWayDelay", Duration.ofNanos(500_000)),
                                    s.duration("callerDelay", Duration.ofMillis(1)));
                    s.finish();
                    mZones.put(ZoneId.of(name), zone);
                });
    }

    private void readRack(String name, Section section, VmTypes types) {
        RackId rack = RackId.of(name);
        ZoneId zone = zone(section);
        mRacks.put(rack, new RackSettings(zone));
        int count = section.integer("vms", 1, MANY, null);
        VmTypes.Size size = types.sizeOf(section);
        section.finish();
        for (int i = 1; i <= count && i <= NameRange.MAX_NAMES; i++) {
            VmId vm = VmId.of(name + "-" + i);
            VmSettings settings =
                    new VmSettings(
                            rack, zone, size.processors(), size.memoryBytes(), size.accelerators());
            if (mVms.put(vm, settings) != null) {
                mProblems.sameName(section.place(), section.path(), vm.value(), "VM");
            }
        }
    }

    private ZoneId zone(Section section) {
        String name = section.text("zone", "the name of an availability zone");
        ZoneId zone = ZoneId.of(name);
        if (section.has("zone") && !mZones.containsKey(zone)) {
            mProblems.unknownName(
                    section.place("zone"),
                    section.path("zone"),
                    name,
                    "an availability zone",
                    mZones.keySet().stream().map(ZoneId::value).toList());
        }
        return zone;
    }

    private static ServiceSettings service(Section s) {
        ServiceSettings service =
                new ServiceSettings(
                        s.integer("slots", 1, MANY, null),
                        s.integer("connections", 1, MANY, null),
                        s.integer("instances", 1, MANY, null),
                        s.integer("minAvailable", 0, MANY, null),
                        s.fraction("objective", 0, 0.999),
                        s.duration("deadline", Duration.ofSeconds(2)),
                        s.choice(
                                "requestClass",
                                "\"urgent\", \"interactive\" or \"batch\"",
                                RequestClass::parse,
                                RequestClass.INTERACTIVE),
                        s.flag("repeatable", false));
        s.finish();
        return service;
    }

    private PoolSettings pool(Section s) {
        Optional<ServiceId> service = s.optionalText("service").map(ServiceId::of);
        if (service.isPresent() && !mServices.containsKey(service.get())) {
            mProblems.unknownName(
                    s.place("service"),
                    s.path("service"),
                    service.get().value(),
                    "a service",
                    mServices.keySet().stream().map(ServiceId::value).toList());
        }
        Set<VmId> vms = vmsOf(s);
        PoolSettings pool =
                new PoolSettings(
                        service,
                        vms,
                        s.integer("target", 0, MANY, null),
                        s.integer("reserve", 0, MANY, 0));
        s.finish();
        return pool;
    }

    private Set<VmId> vmsOf(Section pool) {
        Set<VmId> vms = new LinkedHashSet<>();
        List<String> unknown = new ArrayList<>();
        for (String name : pool.nameList("vms")) {
            VmId vm = VmId.of(name);
            if (!mVms.containsKey(vm)) {
                unknown.add(name);
            } else if (!vms.add(vm)) {
                mProblems.sameName(pool.place("vms"), pool.path("vms"), name, "VM");
            }
        }
        if (!unknown.isEmpty()) {
            mProblems.unknownVms(
                    pool.place("vms"),
                    pool.path("vms"),
                    unknown,
                    mVms.keySet().stream().map(VmId::value).toList());
        }
        return vms;
    }

    private static TeamSettings team(Section s) {
        TeamSettings team =
                new TeamSettings(
                        s.fraction("quota", 0, null),
                        s.choice(
                                "role",
                                "\"reader\", \"submitter\" or \"operator\"",
                                SettingsBuilder::role,
                                Role.READER),
                        s.text("token", "the token that the team presents"));
        s.finish();
        return team;
    }

    private static Optional<Role> role(String text) {
        return Arrays.stream(Role.values())
                .filter(r -> r.name().toLowerCase(Locale.ROOT).equals(text))
                .findFirst();
    }

    private NodeSettings node(Section s) {
        NodeSettings node =
                new NodeSettings(
                        zone(s), s.address("callers"), s.address("peers"), s.address("admin"));
        s.finish();
        return node;
    }

    private static FleetSettings fleet(Section s) {
        FleetSettings fleet =
                new FleetSettings(
                        s.share("rolloutWeight", 0.5),
                        s.duration("wakeTime", Duration.ofSeconds(90)),
                        s.duration("drainTimeout", Duration.ofSeconds(30)),
                        s.duration("rebootTime", Duration.ofSeconds(120)),
                        s.duration("moveCooldown", Duration.ofMinutes(30)));
        s.finish();
        return fleet;
    }

    private static PlatformSettings platform(Section s) {
        PlatformSettings platform =
                new PlatformSettings(
                        s.url("address"),
                        s.duration("timeout", Duration.ofSeconds(1)),
                        s.integer("appendsPerSecond", 1, MANY, 200),
                        s.duration("retention", Duration.ofDays(14)));
        s.finish();
        return platform;
    }

    private PeerSettings peers(Section s) {
        String key = s.text("key", "a shared key of at least " + MIN_KEY_LENGTH + " characters");
        if (s.has("key") && key.length() < MIN_KEY_LENGTH) {
            mProblems.wrongType(
                    s.place("key"),
                    s.path("key"),
                    "a key of " + key.length() + " characters",
                    "a shared key of at least " + MIN_KEY_LENGTH + " characters");
        }
        PeerSettings peers =
                new PeerSettings(
                        key,
                        s.duration("heartbeat", Duration.ofMillis(500)),
                        s.duration("silence", Duration.ofSeconds(2)));
        s.finish();
        return peers;
    }

    private static LimitSettings limits(Section s) {
        LimitSettings limits =
                new LimitSettings(
                        (int) Math.min(Integer.MAX_VALUE, s.size("maxHeader", 16L << 10)),
                        s.size("maxBody", 4L << 20),
                        s.integer("connectionsPerCaller", 1, MANY, 256),
                        s.share("retryRatio", 0.1),
                        s.duration("idempotencyWindow", Duration.ofHours(1)));
        s.finish();
        return limits;
    }
}
