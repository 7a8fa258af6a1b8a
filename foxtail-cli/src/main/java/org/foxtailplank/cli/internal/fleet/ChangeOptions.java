package org.foxtailplank.cli.internal.fleet;

import org.foxtailplank.cli.internal.admin.AdminClient;
import org.foxtailplank.cli.internal.admin.Reply;
import org.foxtailplank.cli.internal.command.Console;
import org.foxtailplank.process.ExitCode;
import org.foxtailplank.process.ProcessException;
import org.kohsuke.args4j.Option;

/** Options of a command that changes one object, on condition of its version. */
class ChangeOptions extends Kind.OneOptions {
    @Option(
            name = "--from",
            metaVar = "VERSION",
            usage = "version that the change is made from (else the one of this moment)")
    private Long mFrom;

    @Option(name = "--why", required = true, metaVar = "TEXT", usage = "reason of the change")
    private String mWhy;

    String why() {
        return mWhy;
    }

    /** Reads the object. */
    @FunctionalInterface
    interface Reader {
        Rows.Versioned read(AdminClient client, String id)
                throws ProcessException, InterruptedException;
    }

    /** The version that was named, or the object's own. */
    long from(AdminClient client, Reader reader) throws ProcessException, InterruptedException {
        return mFrom == null ? reader.read(client, id()).version() : mFrom;
    }

    /** What a change does with the API. */
    @FunctionalInterface
    interface Call {
        Reply on(AdminClient client) throws ProcessException, InterruptedException;
    }

    /** Makes the change and prints the object's new version. */
    ExitCode change(Console console, Call call) throws ProcessException, InterruptedException {
        try (AdminClient client = AdminClient.of(this, console)) {
            Rows.Applied applied = call.on(client).orEnd().as(Rows.Applied.class);
            console.line(id() + " is at version " + applied.version());
            return ExitCode.DONE;
        }
    }
}
