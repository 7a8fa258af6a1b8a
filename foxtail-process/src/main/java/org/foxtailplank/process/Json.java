package org.foxtailplank.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

/** JSON as all HTTP interfaces of the system write and read it. */
public final class Json {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .addModule(new Jdk8Module())
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .build();

    private Json() {}

    /** An empty object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** A value as text. */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("no JSON form: " + value.getClass(), e);
        }
    }

    /** A value as a tree. */
    public static JsonNode tree(Object value) {
        return MAPPER.valueToTree(value);
    }

    /** Reads text as a tree. */
    public static JsonNode parse(String text) throws JsonProcessingException {
        return MAPPER.readTree(text);
    }

    /** Reads text as a value of a type; unknown keys are passed over. */
    public static <T> T read(String text, Class<T> type) throws JsonProcessingException {
        return MAPPER.readValue(text, type);
    }

    /** Reads a tree as a value of a type. */
    public static <T> T read(JsonNode tree, Class<T> type) throws JsonProcessingException {
        return MAPPER.treeToValue(tree, type);
    }
}
