package org.foxtailplank.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

/** Tests both log formats. */
public final class LogTest {
    @Test
    void aTextLineNamesThePartAndTheRequest() {
        String line = logged(LogFormat.TEXT, "It's sent to {0} after {1} ms.", "vm-1", 1234);
        assertTrue(line.matches("[0-9:.]{12} INFO route: It's sent.*\n"), line);
        assertTrue(line.endsWith("sent to vm-1 after 1234 ms. request=r-1\n"), line);
    }

    @Test
    void aJsonLineIsOneObject() throws Exception {
        JsonNode line = Json.parse(logged(LogFormat.JSON, "Sent to {0}.", "vm-1"));
        assertEquals(line.path("part").asText(), "route");
        assertEquals(line.path("level").asText(), "INFO");
        assertEquals(line.path("message").asText(), "Sent to vm-1.");
        assertEquals(line.path("request").asText(), "r-1");
    }

    /** Guards against log injection through header values. */
    @Test
    void argumentsCannotInjectLinesOrPlaceholders() {
        String line = logged(LogFormat.TEXT, "Header {0} of {1}.", "{1}\n00:00 INFO x: y", "z");
        assertEquals(line.lines().count(), 1);
        assertTrue(line.contains("Header {1}\\n00:00 INFO x: y of z."), line);
    }

    private static String logged(LogFormat format, String message, Object... arguments) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        Logs.configure(format, LogLevel.INFO, new PrintStream(out));
        Log.of("route").with("request", "r-1").info(message, arguments);
        return out.toString(StandardCharsets.UTF_8);
    }
}
