package org.foxtailplank.internal.settings;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.foxtailplank.settings.SettingsProblem;

/** Collects what is wrong with settings; the one place where it is put into words. */
public final class Problems {
    private static final int NAMES_SHOWN = 3;

    /** A set, since an object under a range of names is read once for each name. */
    private final Set<SettingsProblem> mProblems = new LinkedHashSet<>();

    /** All problems so far, by file and line. */
    public List<SettingsProblem> list() {
        List<SettingsProblem> sorted = new ArrayList<>(mProblems);
        Collections.sort(
                sorted,
                Comparator.comparing(SettingsProblem::file)
                        .thenComparingInt(SettingsProblem::line));
        return sorted;
    }

    /** Whether nothing is wrong so far. */
    public boolean isEmpty() {
        return mProblems.isEmpty();
    }

    void emptyFile(Place place) {
        add(place, "", "an empty file", "an object with the settings, at least { }");
    }

    void notJson(Place place, String message) {
        add(place, "", "text that is not JSON: " + message, "JSON, with // and /* */ comments");
    }

    void textAfterEnd(Place place) {
        add(place, "", "more text after the end of the object", "one object");
    }

    void duplicateKey(Place place, String path, Place earlier) {
        add(place, path, "a key that stands at " + earlier + " already", "each key once");
    }

    void wrongType(Place place, String path, String found, String allowed) {
        add(place, path, found, allowed);
    }

    void missing(Place place, String path, String allowed) {
        add(place, path, "nothing", allowed);
    }

    void unknownKey(Place place, String path, String nearest, Collection<String> known) {
        String allowed = "one of " + String.join(", ", known);
        if (!nearest.isEmpty()) {
            allowed = "\"" + nearest + "\" (the nearest known key), or another " + allowed;
        }
        add(place, path, "an unknown key", allowed);
    }

    void unknownName(Place place, String path, String name, String kind, Collection<String> known) {
        String nearest = Nearest.to(name, known);
        String hint = nearest.isEmpty() ? "" : ", for example \"" + nearest + "\"";
        add(place, path, quoted(name), "the name of " + kind + " that the settings define" + hint);
    }

    void unknownVms(Place place, String path, List<String> vms, Collection<String> known) {
        String nearest = Nearest.to(vms.get(0), known);
        String hint = nearest.isEmpty() ? "" : ", for example \"" + nearest + "\"";
        add(place, path, vmNames(vms) + ", which no rack has", "VMs of the racks" + hint);
    }

    void cycle(Place place, String path, List<String> chain) {
        add(
                place,
                path,
                "VM types that go round in a circle: " + String.join(" -> ", chain),
                "a chain of \"like\" that ends");
    }

    void badRange(Place place, String path, String name) {
        add(
                place,
                path,
                quoted(name),
                "a name of letters, digits, dots and dashes, or a range such as \"r-[1-4]\"");
    }

    void sameName(Place place, String path, String name, String kind) {
        add(place, path, kind + " " + quoted(name) + " a second time", "each name once");
    }

    void vmsInTwoPools(Place place, String path, List<String> vms, String otherPool) {
        add(
                place,
                path,
                vmNames(vms) + ", which pool \"" + otherPool + "\" holds already",
                "each VM in at most one pool");
    }

    void vmsInNoPool(Place place, List<String> vms) {
        add(
                place,
                "pools",
                vmNames(vms) + " in no pool",
                "each VM in exactly one pool (one without a \"service\" can hold spare VMs)");
    }

    void overlayWithoutSite(Place place, Collection<String> zones) {
        add(place, "site", "nothing", "the zone of this overlay, one of " + sorted(zones));
    }

    void overlayForUnknownZone(Place place, String site, Collection<String> zones) {
        add(
                place,
                "site",
                "an overlay for zone " + quoted(site) + ", which does not exist",
                "one of " + sorted(zones));
    }

    void siteInBase(Place place) {
        add(place, "site", "a key that only an overlay has", "a base without \"site\"");
    }

    void overlayChangesShared(Place place, String path) {
        add(
                place,
                path,
                "a change, in an overlay, of what all sites must agree on",
                "this value in the base file only");
    }

    void overlayChangesOtherSite(Place place, String path, String site) {
        add(place, path, "a change of another site", "values of zone " + quoted(site) + " only");
    }

    void sameAddress(Place place, String path, String address, String otherPath) {
        add(place, path, address + ", which " + otherPath + " has already", "a port of its own");
    }

    void sameToken(Place place, String path, String otherTeam) {
        add(place, path, "the token of team " + quoted(otherTeam), "a token of its own");
    }

    void tooManyForPool(Place place, String path, int wanted, int vms) {
        add(
                place,
                path,
                "target and reserve of " + wanted + " VMs together",
                "at most the " + vms + " VMs of the pool");
    }

    void tooManyInstances(Place place, String path, int instances, int vms) {
        add(
                place,
                path,
                instances + " instances",
                "at most the " + vms + " VMs of the pools of this service");
    }

    void serviceWithoutPool(Place place, String path) {
        add(place, path, "a service that no pool runs", "a pool with this \"service\"");
    }

    void budgetAllowsNoStop(Place place, String path, int minAvailable, int vms) {
        add(
                place,
                path,
                "a budget of "
                        + minAvailable
                        + " serving instances that no wave could ever meet: the service has "
                        + vms
                        + " VMs, so none could ever be stopped",
                "fewer than " + vms);
    }

    void budgetAllowsNoRackLoss(
            Place place, String path, int minAvailable, String rack, int onRack, int left) {
        add(
                place,
                path,
                "a budget of "
                        + minAvailable
                        + " serving instances that no wave could ever meet: one planned stop and"
                        + " the loss of rack "
                        + rack
                        + " ("
                        + onRack
                        + " of its VMs) leave "
                        + left,
                left < 1
                        ? "more VMs, or VMs spread over more racks"
                        : "at most " + left + ", or VMs spread over more racks");
    }

    private void add(Place place, String path, String found, String allowed) {
        mProblems.add(new SettingsProblem(place.file(), place.line(), path, found, allowed));
    }

    private static String quoted(String text) {
        return "\"" + text + "\"";
    }

    private static String sorted(Collection<String> names) {
        return String.join(", ", names.stream().sorted().toList());
    }

    private static String vmNames(List<String> vms) {
        return (vms.size() == 1 ? "VM " : "VMs ") + shorten(vms);
    }

    private static String shorten(List<String> names) {
        if (names.size() <= NAMES_SHOWN) {
            return String.join(", ", names);
        }
        return String.join(", ", names.subList(0, NAMES_SHOWN))
                + " and "
                + (names.size() - NAMES_SHOWN)
                + " more";
    }
}
