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
import java.util.OptionalLong;
import org.foxtailplank.adapter.PlatformAgreements;
import org.foxtailplank.adapter.UsersPlatform.PlatformAddresses;
import org.foxtailplank.organisation.KeyLifetime;
import org.foxtailplank.schedule.ScheduleLimits;

/** Parses a node's settings: JSON with comments. Unknown fields are ignored. */
public final class NodeSettingsReader {
    private static final double MS_PER_S = 1000;
    private static final int MAX_PORT = 65_535;
    private static final String CALL_MODE = "call";

    private final JsonNode mTree;
    private final List<String> mProblems = new ArrayList<>();

    private NodeSettingsReader(JsonNode tree) {
        mTree = tree;
    }

    /** Reads settings from a file. */
    public static NodeSettings read(Path file) throws SettingsException, IOException {
        return parse(Files.readString(file));
    }

    /** Parses the text of a settings file. */
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
            throw new SettingsException(List.of("settings are not valid JSON: " + e.getMessage()));
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
                        (long) number("/worker/leaseMs"),
                        (long) number("/jobs/earlyMs"),
                        (long) number("/worker/stopMs"));
        NodeSettings.JournalLimits journal =
                new NodeSettings.JournalLimits(
                        secondsAsMs("/platform/keepS"),
                        secondsAsMs("/jobs/statusS"),
                        positiveInt("/platform/parts"),
                        positiveInt(
                                "/platform/recordBytes",
                                NodeSettings.JournalLimits.DEFAULT_RECORD_BYTES),
                        positiveInt(
                                "/platform/appendBytes",
                                NodeSettings.JournalLimits.DEFAULT_APPEND_BYTES));
        List<String> agreements = AgreementReader.read(mTree, mProblems);
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
                secondsAsMs("/node/graceS"),
                keyLifetime("/callers/keyRevocationMs"),
                flag("/pools/forecastBursts", PlatformAgreements.forecastsBursts(agreements)),
                new AdmissionSettingsReader(mTree, mProblems).read(),
                callerLimits());
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
            mProblems.add(path + " must be true or false");
        }
        return value.asBoolean(false);
    }

    private boolean flag(String path, boolean ifMissing) {
        return mTree.at(path).isMissingNode() ? ifMissing : flag(path);
    }

    /** Rejects order modes other than calls to workers, which is the only and default one. */
    private void checkOrderMode(String path) {
        String value = mTree.at(path).asText("");
        if (!value.isEmpty() && !value.equals(CALL_MODE)) {
            mProblems.add(path + " is '" + value + "'; only '" + CALL_MODE + "' is supported");
        }
    }

    private double number(String path) {
        JsonNode value = mTree.at(path);
        if (!value.isNumber() || value.asDouble() < 0) {
            mProblems.add(path + " must be a number of at least 0");
            return 0;
        }
        return value.asDouble();
    }

    /** Reads the link rate, which is optional since not every platform provides it. */
    private LinkRate link(String path) {
        return mTree.at(path).isMissingNode() ? LinkRate.UNKNOWN : new LinkRate(number(path));
    }

    /** Reads the revocation time of keys, which is optional. */
    private KeyLifetime keyLifetime(String path) {
        return mTree.at(path).isMissingNode()
                ? KeyLifetime.UNLIMITED
                : new KeyLifetime(OptionalLong.of((long) number(path)));
    }

    private NodeSettings.CallerLimits callerLimits() {
        NodeSettings.CallerLimits defaults = NodeSettings.CallerLimits.DEFAULTS;
        return new NodeSettings.CallerLimits(
                positiveInt("/callers/connections", defaults.connections()),
                positiveInt("/callers/bufferBytes", defaults.bufferBytes()),
                positiveInt("/callers/requestMs", defaults.requestMs()));
    }

    private int positiveInt(String path, int ifMissing) {
        return mTree.at(path).isMissingNode() ? ifMissing : positiveInt(path);
    }

    private int positiveInt(String path) {
        int value = (int) number(path);
        if (value < 1) {
            mProblems.add(path + " must be at least 1");
        }
        return Math.max(1, value);
    }

    private long secondsAsMs(String path) {
        return (long) (number(path) * MS_PER_S);
    }

    /** Returns the text of an address after checking that it is valid. */
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
            // Reported below, together with ports out of range.
        }
        mProblems.add(path + " must be ip:port but is '" + value + "'");
        return new InetSocketAddress(0);
    }
}
