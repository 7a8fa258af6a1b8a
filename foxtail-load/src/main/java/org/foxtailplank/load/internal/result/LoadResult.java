package org.foxtailplank.load.internal.result;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * Results of several runs of one experiment.
 *
 * @param profile name of the profile
 * @param seed seed of the first run; each later run adds one
 * @param machine processors, memory and Java of the machine that ran it
 * @param capacityPerSecond requests a second that count as 1 x capacity
 * @param runs steps of each run
 */
public record LoadResult(
        String profile,
        long seed,
        String machine,
        double capacityPerSecond,
        List<List<StepResult>> runs) {

    private static final JsonMapper MAPPER =
            JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

    public LoadResult {
        runs = List.copyOf(runs);
    }

    /** The result as JSON. */
    public String toJson() {
        try {
            return MAPPER.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a record of numbers is always JSON", e);
        }
    }

    /** Reads a result from a file. */
    public static LoadResult read(Path file) throws IOException {
        return MAPPER.readValue(file.toFile(), LoadResult.class);
    }
}
