package org.foxtailplank.internal.state;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;

/** Applies and computes JSON merge patches (RFC 7396). */
public final class MergePatch {
    private static final JsonMapper JSON =
            JsonMapper.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private MergePatch() {}

    /** Parses a JSON object, which may contain comments; empty for any other text. */
    public static Optional<ObjectNode> parse(String text) {
        try {
            JsonNode node = JSON.readTree(text);
            return node instanceof ObjectNode o ? Optional.of(o) : Optional.empty();
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    /** Returns a new empty object. */
    public static ObjectNode emptyObject() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** Applies a patch to a text; empty if one of them is not a JSON object. */
    public static Optional<String> mergeTexts(String text, String patch) {
        return parse(text)
                .flatMap(t -> parse(patch).map(p -> merge((JsonNode) t, p).toPrettyString()));
    }

    /** Applies a patch to a value; may modify the target in place. */
    public static JsonNode merge(JsonNode target, JsonNode patch) {
        if (!(patch instanceof ObjectNode)) {
            return patch;
        }
        ObjectNode result = target instanceof ObjectNode o ? o : emptyObject();
        for (Map.Entry<String, JsonNode> e : patch.properties()) {
            if (e.getValue().isNull()) {
                result.remove(e.getKey());
            } else {
                result.set(e.getKey(), merge(result.path(e.getKey()), e.getValue()));
            }
        }
        return result;
    }

    /**
     * Returns the patch from one object to another; empty if a patch can't express the difference.
     */
    public static Optional<ObjectNode> diff(ObjectNode from, ObjectNode to) {
        ObjectNode patch = emptyObject();
        for (Map.Entry<String, JsonNode> e : from.properties()) {
            if (!to.has(e.getKey())) {
                patch.putNull(e.getKey());
            }
        }
        for (Map.Entry<String, JsonNode> e : to.properties()) {
            JsonNode old = from.path(e.getKey());
            if (!old.equals(e.getValue()) && !putDiff(patch, e.getKey(), old, e.getValue())) {
                return Optional.empty();
            }
        }
        return Optional.of(patch);
    }

    private static boolean putDiff(ObjectNode patch, String key, JsonNode from, JsonNode to) {
        if (to instanceof ObjectNode t) {
            ObjectNode old = from instanceof ObjectNode f ? f : emptyObject();
            Optional<ObjectNode> inner = diff(old, t);
            inner.ifPresent(p -> patch.set(key, p));
            return inner.isPresent();
        }
        patch.set(key, to);
        // In a patch null means removal, so a null value can't be expressed.
        return !to.isNull();
    }
}
