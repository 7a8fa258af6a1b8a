package org.foxtailplank.cli.internal.command;

import java.net.URI;
import java.nio.file.Path;
import java.util.Collection;

/** The one place where the operators' program words its errors. */
public final class CliMessages {
    private CliMessages() {}

    static String unknownCommand(String words) {
        return "there is no command \"" + words + "\"; these are known:";
    }

    /** No address of the administration API is known. */
    public static String noAdmin() {
        return "no node was named to ask; give --admin ADDRESS, set FOXTAIL_ADMIN, or give"
                + " --settings FILE whose nodes state their ports";
    }

    /** An address can't be read. */
    public static String badAddress(String text) {
        return "\"" + text + "\" is no address; give it as 127.0.0.1:7003";
    }

    /** No token is known. */
    public static String noToken() {
        return "no token was given; set FOXTAIL_TOKEN, or give --token-file FILE";
    }

    /** No node answers. */
    public static String noNode(String last) {
        return "no node answers, so nothing was changed: "
                + last
                + "; check the addresses, or name another node with --admin";
    }

    /** An answer got lost. */
    public static String answerLost(String why) {
        return "the answer got lost, so it is not known whether the change was made: "
                + why
                + "; read the object before you try again with the same version";
    }

    /** The administration API refuses. */
    public static String refused(String what, String why, String todo) {
        return String.join("\n  ", what, why, todo);
    }

    /** The platform's log can't be read. */
    public static String platformAway(URI address, String why) {
        return "the platform at "
                + address
                + " does not answer: "
                + why
                + "; check platform.address in the settings, or try later";
    }

    /** The platform's address is not known. */
    public static String noPlatform() {
        return "history is read from the platform's log; give --settings FILE, which states"
                + " platform.address";
    }

    /** Another operator published first. */
    public static String overtaken(long from, long now, String who, String why) {
        return "nothing was published, and your files are as they were: they were made from version"
                + " "
                + from
                + ", but "
                + who
                + " has published version "
                + now
                + " ("
                + why
                + ")";
    }

    /** How to go on after another operator published first. */
    public static String overtakenHint(long now) {
        return "to put your change on top of version "
                + now
                + ", run the same command with --rebase";
    }

    /** Both operators changed the same values. */
    public static String clash(Collection<String> paths) {
        return "both changes touch the same values, so nothing was published: "
                + String.join(", ", paths)
                + "; decide on each, and publish again from the version in force";
    }

    /** The version that a change was made from can't be had. */
    public static String originUnknown() {
        return "the version that your files were made from can't be read, so the changes can't be"
                + " put on top of each other; give --settings FILE, or, where the platform's log"
                + " has dropped it, merge by hand and publish from the version in force";
    }

    /** Heads the changes that another operator made. */
    public static String changedMeanwhile() {
        return "changed meanwhile:";
    }

    /** Heads the differences, where the version that files were made from is not known. */
    public static String differsNow() {
        return "your files and the version in force differ in (give --settings FILE to see only"
                + " what the other operator changed):";
    }

    /** Heads a comparison. */
    public static String differences(int count, long version) {
        return count == 0
                ? "the files are the same as version " + version
                : count + " values differ between version " + version + " and the files:";
    }

    /** Older versions can't be listed. */
    public static String olderExpired() {
        return "older versions are not in the platform's log any more";
    }

    /** A file can't be written. */
    public static String unwritable(Path path, String why) {
        return "can't write to " + path + ": " + why + "; name a place that may be written";
    }

    /** How far a version is. */
    public static String inForce(long version, int nodes, int all) {
        return "version " + version + " is in force at " + nodes + " of " + all + " nodes";
    }

    /** Nodes don't have a version in time. */
    public static String behind(long version, Collection<String> nodes) {
        return "version "
                + version
                + " is accepted and stays, but is not known to be in force at: "
                + String.join(", ", nodes)
                + "; foxtail config status shows when it is";
    }

    /** An overlay does not name its site. */
    public static String noSite(String file) {
        return file + " names no site; an overlay starts with \"site\": \"ZONE\"";
    }

    /** What is to be published is wrong. */
    public static String wrongDraft(Collection<String> problems) {
        return "nothing was published, since the configuration is wrong:\n"
                + String.join("\n", problems);
    }

    /** Two overlays are for one site. */
    public static String sameSite(String site) {
        return "two overlays are for site " + site + "; give one";
    }

    /** A file holds no JSON object. */
    public static String notAnObject(String file) {
        return file + " holds no JSON object; foxtail settings check names the cause";
    }

    /** A list goes on. */
    public static String moreAfter(String id) {
        return "there are more; go on with --after " + id;
    }

    /** An answer has another form than expected. */
    public static String unreadable(String why) {
        return "the node's answer can't be read: "
                + why
                + "; this program and the node may be of different versions";
    }

    /** Who ordered the last change of a wave. */
    public static String lastOrder(String who, String why) {
        return "last order by " + who + ": " + why;
    }

    /** The settings have no such service. */
    public static String noService(String id) {
        return "the settings have no service \"" + id + "\"; foxtail settings show lists them";
    }

    /** An object is not listed. */
    public static String noSuch(String kind, String id) {
        return "there is no " + kind + " \"" + id + "\"; foxtail " + kind + " list lists them";
    }
}
