package org.foxtailplank.standin.internal.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;

/** Reads and writes documents. */
public final class Json {

    static final ObjectMapper MAPPER =
            new ObjectMapper()
                    .registerModule(new Jdk8Module())
                    .setDefaultPropertyInclusion(JsonInclude.Include.NON_ABSENT)
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private Json() {}

    /** Reads a document. */
    public static <T> T read(byte[] body, Class<T> type) throws IOException {
        return MAPPER.readValue(body, type);
    }
}
