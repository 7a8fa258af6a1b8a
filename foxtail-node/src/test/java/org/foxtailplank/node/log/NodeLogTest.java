package org.foxtailplank.node.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.foxtailplank.node.FakeNode;
import org.testng.annotations.Test;

/** Log lines under load, and what callers can do to them. */
public class NodeLogTest {
    private static final int BUDGET = 200;
    private static final int QUEUE = 4000;

    private static String written(NodeLog log) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        log.flush(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        return bytes.toString(StandardCharsets.UTF_8);
    }

    @Test
    public void linesBeyondTheBudgetOfTheirKindAreCounted() {
        FakeNode time = new FakeNode();
        NodeLog log = NodeLog.silent(time);
        for (int i = 0; i < BUDGET + 50; i++) {
            log.line("busy").write();
        }
        log.line("other").write();
        time.pass(1000);
        log.line("busy").write();

        String text = written(log);

        assertEquals(text.lines().count(), BUDGET + 2);
        assertTrue(text.contains("\"leftOut\":50"), "the next line says how many are missing");
    }

    @Test
    public void aLogThatNobodyReadsNeitherBlocksNorGrows() {
        FakeNode time = new FakeNode();
        NodeLog log = NodeLog.silent(time);
        for (int i = 0; i < 2 * QUEUE; i++) {
            log.line("kind" + i).write();
        }

        assertEquals(log.overflow(), QUEUE);
    }

    @Test
    public void aValueCannotForgeALine() {
        NodeLog log = NodeLog.silent(new FakeNode());
        log.line("path").with("path", "a\"}\n{\"kind\":\"x").write();

        String text = written(log);

        assertEquals(text.lines().count(), 1);
        assertTrue(text.contains("a\\\"} {\\\"kind"));
    }
}
