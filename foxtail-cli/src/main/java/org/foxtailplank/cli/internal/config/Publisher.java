package org.foxtailplank.cli.internal.config;

import java.util.List;
import java.util.Optional;
import org.foxtailplank.cli.internal.admin.AdminClient;
import org.foxtailplank.cli.internal.admin.Reply;
import org.foxtailplank.cli.internal.command.CliMessages;
import org.foxtailplank.cli.internal.command.Console;
import org.foxtailplank.process.ExitCode;
import org.foxtailplank.process.ProcessException;

/**
 * Publishes files on condition of the version that they were made from.
 *
 * <p>Of two operators who publish at once, the log lets one win. The other one is told what was
 * changed meanwhile; its files stay, and its change can be put on top of the winner's.
 */
final class Publisher {
    private static final int MAX_REBASES = 5;
    private static final String PATH = "/v1/config";

    private final ConfigCommands.PublishOptions mOptions;
    private final Console mConsole;

    Publisher(ConfigCommands.PublishOptions options, Console console) {
        mOptions = options;
        mConsole = console;
    }

    ExitCode run() throws ProcessException, InterruptedException {
        Draft mine = mOptions.draft();
        try (AdminClient client = AdminClient.of(mOptions, mConsole)) {
            Optional<Long> version = publish(client, mine);
            if (version.isEmpty()) {
                return ExitCode.FAILED;
            }
            mConsole.line("version " + version.get() + " is accepted");
            return mOptions.waits() ? await(client, version.get()) : ExitCode.DONE;
        }
    }

    /** The version that it became; empty when another operator's stands before it. */
    private Optional<Long> publish(AdminClient client, Draft mine)
            throws ProcessException, InterruptedException {
        Draft draft = mine;
        long from = mOptions.from();
        for (int i = 0; i <= MAX_REBASES; i++) {
            Reply reply = put(client, draft, from);
            if (!(reply instanceof Reply.Conflict conflict)) {
                return Optional.of(reply.orEnd().as(Views.Applied.class).version());
            }
            Views.Config now = conflict.as(Views.Config.class);
            Optional<Draft> origin = origin(client);
            tell(now, origin, mine);
            if (!mOptions.rebase()) {
                mConsole.error(CliMessages.overtakenHint(now.version()));
                return Optional.empty();
            }
            draft = rebase(now, origin, mine);
            from = now.version();
        }
        return Optional.empty();
    }

    private Reply put(AdminClient client, Draft draft, long from)
            throws ProcessException, InterruptedException {
        Views.Publication publication =
                Views.Publication.of(draft, from, mOptions.who(), mOptions.why());
        Reply reply = client.put(PATH, publication);
        if (!(reply instanceof Reply.Unknown)) {
            return reply;
        }
        // The answer got lost. The same condition lets the change take effect at most once, so it
        // can be sent again; a conflict with the very values that were sent means that it did.
        Reply again = client.put(PATH, publication);
        if (again instanceof Reply.Conflict conflict) {
            Views.Config now = conflict.as(Views.Config.class);
            boolean same = now.draft().differencesTo(draft).isEmpty();
            if (same && now.why().equals(mOptions.why())) {
                return new Reply.Ok(conflict.current());
            }
        }
        return again;
    }

    private Optional<Draft> origin(AdminClient client)
            throws ProcessException, InterruptedException {
        return mOptions.settingsFile().isEmpty()
                ? Optional.empty()
                : LogHistory.of(mOptions.settings().platform(), client.runtime())
                        .at(mOptions.from());
    }

    private void tell(Views.Config now, Optional<Draft> origin, Draft mine)
            throws ProcessException {
        mConsole.error(CliMessages.overtaken(mOptions.from(), now.version(), now.who(), now.why()));
        List<JsonDiff.Difference> changed =
                origin.isPresent()
                        ? origin.get().differencesTo(now.draft())
                        : mine.differencesTo(now.draft());
        mConsole.error(
                origin.isPresent() ? CliMessages.changedMeanwhile() : CliMessages.differsNow());
        changed.forEach(d -> mConsole.error("  " + d));
    }

    private static Draft rebase(Views.Config now, Optional<Draft> origin, Draft mine)
            throws ProcessException {
        if (origin.isEmpty()) {
            throw ProcessException.failed(CliMessages.originUnknown());
        }
        List<JsonDiff.Difference> theirs = origin.get().differencesTo(now.draft());
        List<JsonDiff.Difference> ours = origin.get().differencesTo(mine);
        List<String> clashes =
                ours.stream()
                        .filter(o -> theirs.stream().anyMatch(t -> t.clashes(o)))
                        .map(JsonDiff.Difference::path)
                        .toList();
        if (!clashes.isEmpty()) {
            throw ProcessException.failed(CliMessages.clash(clashes));
        }
        return now.draft().withChange(origin.get(), mine);
    }

    private ExitCode await(AdminClient client, long version)
            throws ProcessException, InterruptedException {
        List<InForce.At> behind = new InForce(client).await(version, mOptions.timeout(), mConsole);
        if (behind.isEmpty()) {
            return ExitCode.DONE;
        }
        mConsole.error(
                CliMessages.behind(version, behind.stream().map(InForce.At::toString).toList()));
        return ExitCode.FAILED;
    }
}
