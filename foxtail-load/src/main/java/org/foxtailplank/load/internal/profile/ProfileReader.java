package org.foxtailplank.load.internal.profile;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads profiles: JSON with comments. */
public final class ProfileReader {

    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .build();

    private ProfileReader() {}

    /** Reads a profile from a file. */
    public static Profile read(Path file) throws ProfileException {
        try {
            return parse(Files.readString(file), file.toString());
        } catch (IOException e) {
            throw new ProfileException(
                    "The profile " + file + " can't be read. Check the path and its permissions.",
                    e);
        }
    }

    static Profile parse(String text, String name) throws ProfileException {
        try {
            return MAPPER.readValue(text, Profile.class);
        } catch (JsonProcessingException e) {
            String place = e.getLocation() == null ? "" : ", line " + e.getLocation().getLineNr();
            throw new ProfileException(
                    "The profile "
                            + name
                            + place
                            + " is wrong: "
                            + e.getOriginalMessage()
                            + ". Correct it and start again.",
                    e);
        }
    }
}
