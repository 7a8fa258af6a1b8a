package org.foxtailplank.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which bodies get memory first. */
public class BodyMemoryTest {
    private final List<String> mGranted = new ArrayList<>();

    @BeforeMethod
    public void setUp() {
        mGranted.clear();
    }

    @Test
    public void smallestNeedIsMetFirst() {
        BodyMemory memory = new BodyMemory(100);
        assertTrue(memory.take(90));
        memory.takeLater(80, () -> mGranted.add("80"));
        memory.takeLater(20, () -> mGranted.add("first 20"));
        memory.takeLater(20, () -> mGranted.add("second 20"));
        assertTrue(memory.take(10));
        assertTrue(memory.isAwaited());

        memory.release(90);

        assertEquals(mGranted, List.of("first 20", "second 20"));
        memory.release(10);
        memory.release(20);
        assertEquals(mGranted, List.of("first 20", "second 20", "80"));
        assertFalse(memory.isAwaited());
    }

    @Test
    public void bodyThatGivesUpGetsNoMemory() {
        BodyMemory memory = new BodyMemory(100);
        assertTrue(memory.take(100));
        BodyMemory.Waiter waiter = memory.takeLater(50, () -> mGranted.add("50"));
        memory.giveUp(waiter);

        memory.release(100);

        assertTrue(memory.take(100));
        assertFalse(mGranted.contains("50"));
    }

    /** Guards against a body that is never read, as it is larger than all memory. */
    @Test
    public void bodyLargerThanTheMemoryIsReadAlone() {
        BodyMemory memory = new BodyMemory(100);
        assertTrue(memory.take(10));
        assertFalse(memory.take(200));

        memory.release(10);

        assertTrue(memory.take(200));
        assertFalse(memory.take(1));
    }
}
