package org.foxtailplank.cli.internal.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.cli.internal.admin.AdminClient;
import org.foxtailplank.cli.internal.admin.AdminOptions;
import org.foxtailplank.cli.internal.admin.Reply;
import org.foxtailplank.cli.internal.command.CliMessages;
import org.foxtailplank.cli.internal.command.Command;
import org.foxtailplank.cli.internal.command.Console;
import org.foxtailplank.process.ExitCode;
import org.foxtailplank.process.ProcessException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * A kind of object that can be listed and shown.
 *
 * @param name word of its commands
 * @param path path of its list
 * @param type type of its rows
 * @param table how rows are printed
 * @param <T> type of its rows
 */
record Kind<T>(String name, String path, Class<T> type, Table<T> table) {
    private static final int MAX_LIMIT = 1000;

    /** Options of a list. */
    static final class ListOptions extends AdminOptions {
        @Option(name = "--limit", metaVar = "N", usage = "longest list, 1 to 1000")
        private int mLimit = 100;

        @Option(name = "--after", metaVar = "ID", usage = "go on after this one")
        private String mAfter = "";

        @Option(name = "--pool", metaVar = "ID", usage = "VMs of one pool only")
        private String mPool;

        @Option(name = "--zone", metaVar = "ID", usage = "VMs of one availability zone only")
        private String mZone;

        private String query() {
            return "?limit="
                    + mLimit
                    + "&after="
                    + encoded(mAfter)
                    + (mPool == null ? "" : "&pool=" + encoded(mPool))
                    + (mZone == null ? "" : "&zone=" + encoded(mZone));
        }
    }

    /** Options of a command on one object. */
    static class OneOptions extends AdminOptions {
        @Argument(required = true, metaVar = "ID", usage = "the object's name")
        private String mId;

        String id() {
            return mId;
        }
    }

    /** The commands that list and show this kind. */
    List<Command> reads() {
        return List.of(
                Command.of(
                        name + " list", "lists them, page by page", ListOptions::new, this::list),
                Command.of(
                        name + " show",
                        "shows one with all its values",
                        OneOptions::new,
                        this::show));
    }

    /** The command that only lists this kind. */
    Command listOnly() {
        return Command.of(name + " list", "lists them, page by page", ListOptions::new, this::list);
    }

    String pathOf(String id) {
        return path + "/" + encoded(id);
    }

    T read(AdminClient client, String id) throws ProcessException, InterruptedException {
        return client.get(pathOf(id)).orEnd().as(type);
    }

    /** Reads one of a kind of which the API serves the list only. */
    T readFromList(AdminClient client, String id) throws ProcessException, InterruptedException {
        JsonNode page = client.get(path + "?limit=" + MAX_LIMIT).orEnd().body();
        for (JsonNode item : page.path("items")) {
            if (item.path("id").asText().equals(id)) {
                return new Reply.Ok(item).as(type);
            }
        }
        throw ProcessException.failed(CliMessages.noSuch(name, id));
    }

    private ExitCode list(ListOptions options, Console console)
            throws ProcessException, InterruptedException {
        try (AdminClient client = AdminClient.of(options, console)) {
            Reply.Ok reply = client.get(path + options.query()).orEnd();
            if (options.json()) {
                console.line(reply.body().toString());
                return ExitCode.DONE;
            }
            table.lines(rows(reply.body())).forEach(console::line);
            String next = reply.body().path("next").asText("");
            if (!next.isEmpty() && !reply.body().path("next").isNull()) {
                console.error(CliMessages.moreAfter(next));
            }
            return ExitCode.DONE;
        }
    }

    private List<T> rows(JsonNode page) throws ProcessException {
        List<T> rows = new ArrayList<>();
        for (JsonNode item : page.path("items")) {
            rows.add(new Reply.Ok(item).as(type));
        }
        return rows;
    }

    private ExitCode show(OneOptions options, Console console)
            throws ProcessException, InterruptedException {
        try (AdminClient client = AdminClient.of(options, console)) {
            JsonNode body = client.get(pathOf(options.id())).orEnd().body();
            if (options.json()) {
                console.line(body.toString());
            } else {
                body.properties()
                        .forEach(p -> console.line(p.getKey() + ": " + text(p.getValue())));
            }
            return ExitCode.DONE;
        }
    }

    private static String text(JsonNode node) {
        return node.isTextual() ? node.asText() : node.toString();
    }

    /** A name as a part of a path. */
    static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
