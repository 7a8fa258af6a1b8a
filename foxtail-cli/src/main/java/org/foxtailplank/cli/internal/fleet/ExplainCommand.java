package org.foxtailplank.cli.internal.fleet;

import org.foxtailplank.cli.internal.admin.AdminClient;
import org.foxtailplank.cli.internal.admin.AdminOptions;
import org.foxtailplank.cli.internal.admin.Reply;
import org.foxtailplank.cli.internal.command.Command;
import org.foxtailplank.cli.internal.command.Console;
import org.foxtailplank.fleet.Explanation;
import org.foxtailplank.process.ExitCode;
import org.foxtailplank.process.ProcessException;
import org.kohsuke.args4j.Argument;

/** The command {@code explain}. */
public final class ExplainCommand {
    private ExplainCommand() {}

    /** Its options. */
    static final class Options extends AdminOptions {
        @Argument(required = true, metaVar = "KIND", usage = "vm, job, pool, wave or worker")
        private String mKind;

        @Argument(index = 1, required = true, metaVar = "ID", usage = "the object's name")
        private String mId;
    }

    /** The command. */
    public static Command command() {
        return Command.of(
                "explain",
                "says why something is where it is, and what it waits for",
                Options::new,
                ExplainCommand::run);
    }

    private static ExitCode run(Options options, Console console)
            throws ProcessException, InterruptedException {
        try (AdminClient client = AdminClient.of(options, console)) {
            String path = "/v1/explain/" + Kind.encoded(options.mKind);
            Reply.Ok reply = client.get(path + "/" + Kind.encoded(options.mId)).orEnd();
            if (options.json()) {
                console.line(reply.body().toString());
                return ExitCode.DONE;
            }
            Explanation explanation = reply.as(Explanation.class);
            console.line(explanation.subject());
            explanation.reasons().forEach(r -> console.line("  " + text(r)));
            return ExitCode.DONE;
        }
    }

    private static String text(Explanation.Reason reason) {
        return reason.waitsFor().isBlank()
                ? reason.text()
                : reason.text() + "; waits for " + reason.waitsFor();
    }
}
