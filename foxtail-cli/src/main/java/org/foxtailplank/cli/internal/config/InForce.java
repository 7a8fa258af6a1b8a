package org.foxtailplank.cli.internal.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailplank.cli.internal.admin.AdminClient;
import org.foxtailplank.cli.internal.admin.AdminOptions;
import org.foxtailplank.cli.internal.admin.Reply;
import org.foxtailplank.cli.internal.command.CliMessages;
import org.foxtailplank.cli.internal.command.Console;
import org.foxtailplank.process.ProcessException;

/** Asks each node which version is in force there. */
final class InForce {
    private static final int MAX_NODES = 1000;
    private static final long POLL_MILLIS = 50;

    private final AdminClient mClient;

    InForce(AdminClient client) {
        mClient = client;
    }

    /**
     * What one node says.
     *
     * @param node the node
     * @param zone its availability zone
     * @param version version in force there; 0 when none is, -1 when the node doesn't answer
     * @param error why it doesn't answer; empty when it does
     */
    record At(String node, String zone, long version, String error) {
        boolean answers() {
            return error.isEmpty();
        }

        @Override
        public String toString() {
            return answers() ? node + " (version " + version + ")" : node + " (does not answer)";
        }
    }

    List<At> ask() throws ProcessException, InterruptedException {
        Views.Nodes nodes =
                mClient.get("/v1/nodes?limit=" + MAX_NODES).orEnd().as(Views.Nodes.class);
        List<CompletableFuture<Reply>> replies = new ArrayList<>();
        for (Views.NodeRow node : nodes.items()) {
            replies.add(
                    mClient.getFrom(AdminOptions.uri(node.admin()), "/v1/config")
                            .toCompletableFuture());
        }
        List<At> all = new ArrayList<>();
        for (int i = 0; i < replies.size(); i++) {
            all.add(at(nodes.items().get(i), replies.get(i).join()));
        }
        return all;
    }

    private static At at(Views.NodeRow node, Reply reply) throws ProcessException {
        if (reply instanceof Reply.Ok ok) {
            return new At(node.id(), node.zone(), ok.as(Views.Config.class).version(), "");
        }
        if (reply instanceof Reply.Unknown unknown) {
            return new At(node.id(), node.zone(), -1, unknown.message());
        }
        return new At(node.id(), node.zone(), 0, "");
    }

    /** Waits until a version is in force everywhere; the nodes that are behind when time is up. */
    List<At> await(long version, Duration limit, Console console)
            throws ProcessException, InterruptedException {
        long end = System.nanoTime() + limit.toNanos();
        while (true) {
            List<At> all = ask();
            List<At> behind = all.stream().filter(a -> a.version() < version).toList();
            console.progress(CliMessages.inForce(version, all.size() - behind.size(), all.size()));
            if (behind.isEmpty() || System.nanoTime() > end) {
                return behind;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }
}
