package org.foxtailplank.node;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.adapter.UsersPlatform.PlatformAddresses;
import org.foxtailplank.schedule.ScheduleLimits;

/** Reads a node's settings: JSON with comments; unknown fields are passed over. */
public final class NodeSettingsReader {
    private static final double MS_PER_S = 1000;
    private static final int MAX_PORT = 65_535;
    private static final String CALL_MODE = "call";

    private final JsonNode mTree;
    private final List<String> mProblems = new ArrayList<>();

    private NodeSettingsReader(JsonNode tree) {
        mTree = tree;
    }

    /** Reads a file. */
    public static NodeSettings read(Path file) throws SettingsException, IOException {
        return parse(Files.readString(file));
    }

    /** Reads text. */
    public static NodeSettings parse(String text) throws SettingsException {
        JsonMapper mapper =
                JsonMapper.builder().configure(JsonParser.Feature.ALLOW_COMMENTS, true).build();
        try {
            JsonNode tree = mapper.readTree(text);
            NodeSettingsReader reader = new NodeSettingsReader(tree);
            NodeSettings settings = reader.settings();
            if (!reader.mProblems.isEmpty()) {
                throw new SettingsException(reader.mProblems);
            }
            return settings;
        } catch (IOException e) {
            throw new SettingsException(List.of("no JSON with comments: " + e.getMessage()));
        }
    }

    private NodeSettings settings() {
        checkOrderMode("/worker/orders");
        PlatformAddresses platform =
                new PlatformAddresses(
                        addressText("/platform/store"),
                        addressText("/platform/vms"),
                        mTree.at("/platform/advice").asText("").isEmpty()
                                ? ""
                                : addressText("/platform/advice"));
        ScheduleLimits schedule =
                new ScheduleLimits(
                        (long) number("/worker/leaseMs"), (long) number("/jobs/earlyMs"));
        NodeSettings.JournalBounds journal =
                new NodeSettings.JournalBounds(
                        secondsAsMs("/platform/keepS"),
                        secondsAsMs("/jobs/statusS"),
                        positiveInt("/platform/parts"));
        return new NodeSettings(
                text("/node/name"),
                text("/node/zone"),
                address("/listen/callers"),
                address("/listen/readiness"),
                address("/listen/metrics"),
                address("/listen/peers"),
                platform,
                journal,
                schedule,
                flag("/platform/vmTokensChecked"),
                link("/node/linkMbps"),
                secondsAsMs("/node/graceS"));
    }

    private String text(String path) {
        String value = mTree.at(path).asText("");
        if (value.isEmpty()) {
            mProblems.add(path + " is missing");
        }
        return value;
    }

    private boolean flag(String path) {
        JsonNode value = mTree.at(path);
        if (!value.isBoolean()) {
            mProblems.add(path + " is neither true nor false");
        }
        return value.asBoolean(false);
    }

    /** Workers are called; another way of giving them orders than this default isn't known. */
    private void checkOrderMode(String path) {
        String value = mTree.at(path).asText("");
        if (!value.isEmpty() && !value.equals(CALL_MODE)) {
            mProblems.add(path + " is '" + value + "'; only '" + CALL_MODE + "' is supported");
        }
    }

    private double number(String path) {
        JsonNode value = mTree.at(path);
        if (!value.isNumber() || value.asDouble() < 0) {
            mProblems.add(path + " is no number from 0 on");
            return 0;
        }
        return value.asDouble();
    }

    /** The rate of the node's link; it isn't known on every platform. */
    private LinkRate link(String path) {
        return mTree.at(path).isMissingNode() ? LinkRate.UNKNOWN : new LinkRate(number(path));
    }

    private int positiveInt(String path) {
        int value = (int) number(path);
        if (value < 1) {
            mProblems.add(path + " is less than 1");
        }
        return Math.max(1, value);
    }

    private long secondsAsMs(String path) {
        return (long) (number(path) * MS_PER_S);
    }

    /** The text of an address that can be read as one. */
    private String addressText(String path) {
        address(path);
        return mTree.at(path).asText("");
    }

    private InetSocketAddress address(String path) {
        String value = text(path);
        int colon = value.lastIndexOf(':');
        try {
            int port = Integer.parseInt(value.substring(colon + 1));
            if (colon > 0 && port >= 0 && port <= MAX_PORT) {
                return new InetSocketAddress(value.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // Falls through to the problem below, which names the value.
        }
        mProblems.add(path + " is no ip:port: '" + value + "'");
        return new InetSocketAddress(0);
    }
}
