package org.foxtailplank.node.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.foxtailplank.node.FakeTime;
import org.testng.annotations.Test;

/** Tests the rate limit, the bounded queue and the escaping of the log. */
public class NodeLogTest {
    private static final int MAX_LINES_PER_S = 200;
    private static final int MAX_RUN_LINES_PER_S = 1000;
    private static final int QUEUE_CAPACITY = 4000;

    private static String written(NodeLog log) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        log.flush(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        return bytes.toString(StandardCharsets.UTF_8);
    }

    @Test
    public void linesBeyondTheRateLimitOfTheirKindAreCounted() {
        FakeTime time = new FakeTime();
        NodeLog log = NodeLog.silent(time);
        for (int i = 0; i < MAX_LINES_PER_S + 50; i++) {
            log.line("busy").write();
        }
        log.line("other").write();
        time.advance(1000);
        log.line("busy").write();

        String text = written(log);

        assertEquals(text.lines().count(), MAX_LINES_PER_S + 2);
        assertTrue(
                text.contains("\"leftOut\":50"),
                "the next line contains the number of suppressed lines");
    }

    /** Guards against a second run whose start is missing from the log of a burst. */
    @Test
    public void linesThatShowWhereATaskMayRunHaveAHigherLimit() {
        NodeLog log = NodeLog.silent(new FakeTime());
        for (int i = 0; i < MAX_RUN_LINES_PER_S + 50; i++) {
            log.line("start-order").write();
        }

        assertEquals(written(log).lines().count(), MAX_RUN_LINES_PER_S);
    }

    @Test
    public void aFullQueueDropsLinesWithoutBlocking() {
        FakeTime time = new FakeTime();
        NodeLog log = NodeLog.silent(time);
        for (int i = 0; i < 2 * QUEUE_CAPACITY; i++) {
            log.line("kind" + i).write();
        }

        assertEquals(log.droppedLines(), QUEUE_CAPACITY);
    }

    @Test
    public void aValueCannotInjectALine() {
        NodeLog log = NodeLog.silent(new FakeTime());
        log.line("path").with("path", "a\"}\n{\"kind\":\"x").write();

        String text = written(log);

        assertEquals(text.lines().count(), 1);
        assertTrue(text.contains("a\\\"} {\\\"kind"));
    }
}
