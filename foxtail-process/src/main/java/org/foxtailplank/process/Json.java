package org.foxtailplank.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

/** JSON serialization shared by all HTTP interfaces. */
public final class Json {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .addModule(new Jdk8Module())
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .build();

    private Json() {}

    /** Returns an empty object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Serializes a value to text. */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot serialize to JSON: " + value.getClass(), e);
        }
    }

    /** Converts a value to a tree. */
    public static JsonNode tree(Object value) {
        return MAPPER.valueToTree(value);
    }

    /** Parses text as a tree. */
    public static JsonNode parse(String text) throws JsonProcessingException {
        return MAPPER.readTree(text);
    }

    /** Parses text as a value of a type; unknown keys are ignored. */
    public static <T> T read(String text, Class<T> type) throws JsonProcessingException {
        return MAPPER.readValue(text, type);
    }

    /** Converts a tree to a value of a type. */
    public static <T> T read(JsonNode tree, Class<T> type) throws JsonProcessingException {
        return MAPPER.treeToValue(tree, type);
    }
}
