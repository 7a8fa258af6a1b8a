package org.foxtailplank.cli.internal.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.foxtailplank.cli.internal.admin.AdminClient;
import org.foxtailplank.cli.internal.admin.AdminOptions;
import org.foxtailplank.cli.internal.admin.Reply;
import org.foxtailplank.cli.internal.command.CliMessages;
import org.foxtailplank.cli.internal.command.Command;
import org.foxtailplank.cli.internal.command.Console;
import org.foxtailplank.process.ExitCode;
import org.foxtailplank.process.ProcessException;
import org.kohsuke.args4j.Option;

/** The commands on maintenance waves. */
public final class WaveCommands {
    private static final long POLL_MILLIS = 200;
    private static final Kind<Rows.Wave> WAVES =
            new Kind<>(
                    "wave",
                    "/v1/waves",
                    Rows.Wave.class,
                    new Table<Rows.Wave>()
                            .with("WAVE", Rows.Wave::id)
                            .with("PHASE", Rows.Wave::phase)
                            .with("ZONES", Rows.Wave::zones)
                            .with("FINISHED", Rows.Wave::finished)
                            .with("VMS", Rows.Wave::vms)
                            .with("MAINTAINED", Rows.Wave::maintained)
                            .with("UNDER WAY", Rows.Wave::underWay)
                            .with("VERSION", Rows.Wave::version));

    private static final Table<Rows.Step> STEPS =
            new Table<Rows.Step>()
                    .with("WIDTH", Rows.Step::width)
                    .with("RACKS", Rows.Step::racks)
                    .with("VMS", Rows.Step::vms)
                    .with("LIMITED BY", s -> String.join("; ", s.limits()));

    private WaveCommands() {}

    /** Options of {@code wave start}. */
    static final class StartOptions extends ChangeOptions {
        @Option(name = "--zone", required = true, metaVar = "ID", usage = "zone; may be repeated")
        private List<String> mZones = new ArrayList<>();

        @Option(name = "--pool", metaVar = "ID", usage = "pool, else all; may be repeated")
        private List<String> mPools = new ArrayList<>();

        @Option(name = "--watch", usage = "show its progress until it ends")
        private boolean mWatch;
    }

    /** Options of {@code wave plan}. */
    static final class PlanOptions extends AdminOptions {
        @Option(name = "--zone", required = true, metaVar = "ID", usage = "zone; may be repeated")
        private List<String> mZones = new ArrayList<>();

        @Option(name = "--pool", metaVar = "ID", usage = "pool, else all; may be repeated")
        private List<String> mPools = new ArrayList<>();
    }

    /** Options of {@code wave status}. */
    static final class StatusOptions extends Kind.OneOptions {
        @Option(name = "--watch", usage = "show its progress until it ends")
        private boolean mWatch;
    }

    /** All commands on waves. */
    public static List<Command> all() {
        List<Command> all = new ArrayList<>(WAVES.reads());
        all.add(
                Command.of(
                        "wave plan",
                        "shows the steps of a wave, their width and what limits each",
                        PlanOptions::new,
                        WaveCommands::plan));
        all.add(
                Command.of(
                        "wave start",
                        "reboots the VMs of zones, step by step within the budgets",
                        StartOptions::new,
                        WaveCommands::start));
        all.add(
                Command.of(
                        "wave status",
                        "says how far a wave is",
                        StatusOptions::new,
                        WaveCommands::status));
        all.add(order("pause", "starts no further step of a wave"));
        all.add(order("resume", "lets a paused wave go on"));
        all.add(order("cancel", "ends a wave after the steps under way"));
        return all;
    }

    private static Command order(String word, String summary) {
        return Command.of(
                "wave " + word,
                summary,
                ChangeOptions::new,
                (o, console) ->
                        o.change(
                                console,
                                client ->
                                        client.post(
                                                WAVES.pathOf(o.id()) + "/" + word,
                                                new Bodies.Order(
                                                        o.from(client, WAVES::read),
                                                        o.who(),
                                                        o.why()))));
    }

    private static ExitCode plan(PlanOptions o, Console console)
            throws ProcessException, InterruptedException {
        try (AdminClient client = AdminClient.of(o, console)) {
            Bodies.WavePlan body = new Bodies.WavePlan(Set.copyOf(o.mZones), Set.copyOf(o.mPools));
            Reply.Ok reply = client.post(WAVES.path() + "/plan", body).orEnd();
            if (o.json()) {
                console.line(reply.body().toString());
                return ExitCode.DONE;
            }
            Rows.Plan plan = reply.as(Rows.Plan.class);
            console.line(plan.vms() + " VMs in " + plan.steps().size() + " steps");
            STEPS.lines(plan.steps()).forEach(console::line);
            plan.blocked().forEach(b -> console.line("blocked: " + b));
            return plan.blocked().isEmpty() ? ExitCode.DONE : ExitCode.FAILED;
        }
    }

    private static ExitCode start(StartOptions o, Console console)
            throws ProcessException, InterruptedException {
        Bodies.WaveStart body =
                new Bodies.WaveStart(
                        o.id(), Set.copyOf(o.mZones), Set.copyOf(o.mPools), o.who(), o.why());
        ExitCode started = o.change(console, client -> client.post(WAVES.path(), body));
        if (!o.mWatch) {
            return started;
        }
        try (AdminClient client = AdminClient.of(o, console)) {
            return watch(client, o.id(), console);
        }
    }

    private static ExitCode status(StatusOptions o, Console console)
            throws ProcessException, InterruptedException {
        try (AdminClient client = AdminClient.of(o, console)) {
            if (o.mWatch) {
                return watch(client, o.id(), console);
            }
            Rows.Wave wave = WAVES.read(client, o.id());
            console.line(wave.progress());
            console.line(CliMessages.lastOrder(wave.who(), wave.why()));
            return ExitCode.DONE;
        }
    }

    /** Shows the progress until the wave ends; one that was cancelled has failed. */
    private static ExitCode watch(AdminClient client, String id, Console console)
            throws ProcessException, InterruptedException {
        Rows.Wave wave = WAVES.read(client, id);
        while (!wave.isOver()) {
            console.progress(wave.progress());
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            wave = WAVES.read(client, id);
        }
        console.line(wave.progress());
        return wave.phase().equals("FINISHED") ? ExitCode.DONE : ExitCode.FAILED;
    }
}
