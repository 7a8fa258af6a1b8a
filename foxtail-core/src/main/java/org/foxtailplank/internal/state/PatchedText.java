package org.foxtailplank.internal.state;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A JSON text with the merge patches (RFC 7396) that were published on top of it.
 *
 * <p>Patches are merged when the text is asked for, or when they have grown to a share of the text;
 * so a change costs the fold its own size, not the size of the configuration.
 */
public final class PatchedText {
    private static final JsonMapper JSON =
            JsonMapper.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private static final int MIN_ROLL_UP = 64 * 1024;
    private static final int SHARE = 4;

    private final List<String> mPatches = new ArrayList<>();
    private String mText;
    private int mPending;

    PatchedText(String text) {
        mText = text;
    }

    /** Reads a merge patch; empty for a text that is not a JSON object. */
    static Optional<ObjectNode> parse(String text) {
        try {
            JsonNode node = JSON.readTree(text);
            return node instanceof ObjectNode o ? Optional.of(o) : Optional.empty();
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    /** A text with a merge patch applied; empty where one of them is not a JSON object. */
    public static Optional<String> merge(String text, String patch) {
        return parse(text)
                .flatMap(t -> parse(patch).map(p -> merge((JsonNode) t, p).toPrettyString()));
    }

    /** Adds a patch that was parsed before. */
    void patch(String patch) {
        mPatches.add(patch);
        mPending += patch.length();
        if (mPending > Math.max(MIN_ROLL_UP, mText.length() / SHARE)) {
            text();
        }
    }

    /** The text with all patches merged in. */
    String text() {
        if (!mPatches.isEmpty()) {
            JsonNode merged = parse(mText).orElseGet(PatchedText::emptyObject);
            for (String p : mPatches) {
                merged = merge(merged, parse(p).orElseThrow());
            }
            mText = merged.toPrettyString();
            mPatches.clear();
            mPending = 0;
        }
        return mText;
    }

    private static JsonNode merge(JsonNode target, JsonNode patch) {
        if (!(patch instanceof ObjectNode)) {
            return patch;
        }
        ObjectNode result = target instanceof ObjectNode o ? o : emptyObject();
        for (Map.Entry<String, JsonNode> e : patch.properties()) {
            if (e.getValue().isNull()) {
                result.remove(e.getKey());
            } else {
                JsonNode old = result.path(e.getKey());
                result.set(e.getKey(), merge(old, e.getValue()));
            }
        }
        return result;
    }

    private static ObjectNode emptyObject() {
        return JsonNodeFactory.instance.objectNode();
    }
}
