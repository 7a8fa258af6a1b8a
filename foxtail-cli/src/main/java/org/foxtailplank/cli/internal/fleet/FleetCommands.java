package org.foxtailplank.cli.internal.fleet;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.cli.internal.command.Command;
import org.foxtailplank.cli.internal.command.Console;
import org.foxtailplank.internal.settings.Units;
import org.foxtailplank.process.ExitCode;
import org.foxtailplank.process.ProcessException;
import org.kohsuke.args4j.Option;

/** The commands on pools, VMs, jobs, teams and nodes. */
public final class FleetCommands {
    private static final Kind<Rows.Pool> POOLS =
            new Kind<>(
                    "pool",
                    "/v1/pools",
                    Rows.Pool.class,
                    new Table<Rows.Pool>()
                            .with("POOL", Rows.Pool::id)
                            .with("SERVICE", Rows.Pool::service)
                            .with("TARGET", Rows.Pool::target)
                            .with("RESERVE", Rows.Pool::reserve)
                            .with("VMS", Rows.Pool::vms)
                            .with("ON", Rows.Pool::on)
                            .with("SERVING", Rows.Pool::serving)
                            .with("VERSION", Rows.Pool::version));

    private static final Kind<Rows.Vm> VMS =
            new Kind<>(
                    "vm",
                    "/v1/vms",
                    Rows.Vm.class,
                    new Table<Rows.Vm>()
                            .with("VM", Rows.Vm::id)
                            .with("ZONE", Rows.Vm::zone)
                            .with("RACK", Rows.Vm::rack)
                            .with("POOL", Rows.Vm::pool)
                            .with("PHASE", Rows.Vm::phase)
                            .with("PENDING", Rows.Vm::pending)
                            .with("WAVE", Rows.Vm::wave)
                            .with("VERSION", Rows.Vm::version));

    private static final Kind<Rows.Job> JOBS =
            new Kind<>(
                    "job",
                    "/v1/jobs",
                    Rows.Job.class,
                    new Table<Rows.Job>()
                            .with("JOB", Rows.Job::id)
                            .with("TEAM", Rows.Job::team)
                            .with("POOL", Rows.Job::pool)
                            .with("URGENCY", Rows.Job::urgency)
                            .with("TASKS", Rows.Job::tasks)
                            .with("PLACED", j -> j.placed().size())
                            .with("CANCELLED", Rows.Job::cancelled)
                            .with("VERSION", Rows.Job::version));

    private static final Kind<Rows.Team> TEAMS =
            new Kind<>(
                    "team",
                    "/v1/teams",
                    Rows.Team.class,
                    new Table<Rows.Team>()
                            .with("TEAM", Rows.Team::id)
                            .with("QUOTA", Rows.Team::quota)
                            .with("ROLE", Rows.Team::role)
                            .with("VERSION", Rows.Team::version));

    private static final Kind<Rows.Node> NODES =
            new Kind<>(
                    "node",
                    "/v1/nodes",
                    Rows.Node.class,
                    new Table<Rows.Node>()
                            .with("NODE", Rows.Node::id)
                            .with("ZONE", Rows.Node::zone)
                            .with("ADMIN", Rows.Node::admin)
                            .with("SILENT MS", Rows.Node::silenceMs)
                            .with(
                                    "ACTS FOR",
                                    n -> n.shards().stream().map(Rows.Shard::zone).toList()));

    private FleetCommands() {}

    /** Options of {@code pool target}. */
    static final class TargetOptions extends ChangeOptions {
        @Option(name = "--target", required = true, metaVar = "N", usage = "VMs that are on")
        private int mTarget;

        @Option(name = "--reserve", metaVar = "N", usage = "VMs that are on beyond that")
        private int mReserve;
    }

    /** Options of {@code vm move}. */
    static final class MoveOptions extends ChangeOptions {
        @Option(name = "--to", required = true, metaVar = "POOL", usage = "pool it moves to")
        private String mTo;
    }

    /** Options of {@code team quota}. */
    static final class QuotaOptions extends ChangeOptions {
        @Option(name = "--quota", required = true, metaVar = "SHARE", usage = "0 to 1")
        private double mQuota;
    }

    /** Options of {@code job submit}. */
    static final class SubmitOptions extends ChangeOptions {
        @Option(name = "--team", metaVar = "ID", usage = "team that pays (else the token's)")
        private String mTeam;

        @Option(name = "--pool", required = true, metaVar = "ID", usage = "pool it runs in")
        private String mPool;

        @Option(name = "--urgency", metaVar = "CLASS", usage = "urgent, interactive or batch")
        private String mUrgency = "batch";

        @Option(name = "--processors", required = true, metaVar = "N", usage = "cores of a task")
        private int mProcessors;

        @Option(name = "--memory", required = true, metaVar = "SIZE", usage = "for example 8GiB")
        private String mMemory;

        @Option(name = "--accelerators", metaVar = "N", usage = "accelerators of a task")
        private int mAccelerators;

        @Option(name = "--tasks", metaVar = "N", usage = "number of tasks")
        private int mTasks = 1;

        private Bodies.JobSubmission body() throws ProcessException {
            long memory =
                    Units.size(mMemory)
                            .orElseThrow(
                                    () ->
                                            ProcessException.usage(
                                                    "--memory takes " + Units.SIZE_FORM));
            return new Bodies.JobSubmission(
                    id(),
                    mTeam,
                    mPool,
                    mUrgency,
                    mProcessors,
                    memory,
                    mAccelerators,
                    mTasks,
                    who(),
                    why());
        }
    }

    /** All commands on pools, VMs, jobs, teams and nodes. */
    public static List<Command> all() {
        List<Command> all = new ArrayList<>();
        all.addAll(POOLS.reads());
        all.add(
                Command.of(
                        "pool target",
                        "sets how many VMs of a pool are on",
                        TargetOptions::new,
                        FleetCommands::target));
        all.addAll(VMS.reads());
        all.add(
                Command.of(
                        "vm move",
                        "moves a VM to another pool, drained first",
                        MoveOptions::new,
                        FleetCommands::move));
        all.addAll(JOBS.reads());
        all.add(
                Command.of(
                        "job submit", "submits a job", SubmitOptions::new, FleetCommands::submit));
        all.add(
                Command.of(
                        "job cancel", "cancels a job", ChangeOptions::new, FleetCommands::cancel));
        all.add(TEAMS.listOnly());
        all.add(Command.of("team quota", "sets a quota", QuotaOptions::new, FleetCommands::quota));
        all.add(NODES.listOnly());
        return all;
    }

    private static ExitCode target(TargetOptions o, Console console)
            throws ProcessException, InterruptedException {
        return o.change(
                console,
                client ->
                        client.put(
                                POOLS.pathOf(o.id()) + "/target",
                                new Bodies.Target(
                                        o.from(client, POOLS::read),
                                        o.mTarget,
                                        o.mReserve,
                                        o.who(),
                                        o.why())));
    }

    private static ExitCode move(MoveOptions o, Console console)
            throws ProcessException, InterruptedException {
        return o.change(
                console,
                client ->
                        client.post(
                                VMS.pathOf(o.id()) + "/move",
                                new Bodies.Move(
                                        o.from(client, VMS::read), o.mTo, o.who(), o.why())));
    }

    private static ExitCode submit(SubmitOptions o, Console console)
            throws ProcessException, InterruptedException {
        return o.change(console, client -> client.post(JOBS.path(), o.body()));
    }

    private static ExitCode cancel(ChangeOptions o, Console console)
            throws ProcessException, InterruptedException {
        return o.change(
                console,
                client ->
                        client.post(
                                JOBS.pathOf(o.id()) + "/cancel",
                                new Bodies.Order(o.from(client, JOBS::read), o.who(), o.why())));
    }

    private static ExitCode quota(QuotaOptions o, Console console)
            throws ProcessException, InterruptedException {
        return o.change(
                console,
                client ->
                        client.put(
                                TEAMS.pathOf(o.id()) + "/quota",
                                new Bodies.Quota(
                                        o.from(client, TEAMS::readFromList),
                                        o.mQuota,
                                        o.who(),
                                        o.why())));
    }
}
