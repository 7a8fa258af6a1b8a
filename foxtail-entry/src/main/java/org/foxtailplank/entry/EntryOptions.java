package org.foxtailplank.entry;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;
import org.foxtailplank.membership.NodeRole;
import org.foxtailplank.process.ProcessException;
import org.foxtailplank.process.ProgramOptions;
import org.kohsuke.args4j.Option;

/** Command-line options of {@code foxtail-entry}. */
final class EntryOptions extends ProgramOptions {

    @Option(name = "--roles", metaVar = "entry,control", usage = "what this process does")
    private String mRoles = "entry,control";

    @Option(
            name = "--new-deployment",
            usage =
                    "the claims stream was never written: take new idempotency keys at once instead"
                            + " of after one window")
    private boolean mNewDeployment;

    /** Whether an empty claims stream is that of a new deployment rather than a loss. */
    boolean newDeployment() {
        return mNewDeployment;
    }

    Set<NodeRole> roles() throws ProcessException {
        Set<NodeRole> roles = EnumSet.noneOf(NodeRole.class);
        for (String name : mRoles.split(",")) {
            roles.add(
                    Arrays.stream(NodeRole.values())
                            .filter(r -> r.name().toLowerCase(Locale.ROOT).equals(name))
                            .findFirst()
                            .orElseThrow(
                                    () ->
                                            ProcessException.usage(
                                                    "--roles has no role '"
                                                            + name
                                                            + "'. Give entry, control or both.")));
        }
        return roles;
    }
}
