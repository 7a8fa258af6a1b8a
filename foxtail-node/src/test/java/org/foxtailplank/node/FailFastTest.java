package org.foxtailplank.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a node whose code fails ends its process. */
public class FailFastTest {
    private final List<String> mEvents = new ArrayList<>();

    @BeforeMethod
    public void setUp() {
        mEvents.clear();
    }

    /** Guards against a process that stays up without serving after a failed start. */
    @Test
    public void errorThatCannotBeReportedEndsTheProcess() {
        FailFast failFast =
                new FailFast(
                        error -> {
                            throw new NoClassDefFoundError("LogLine");
                        },
                        () -> mEvents.add("halt"));

        Runnable action =
                failFast.guard(
                        () -> {
                            throw new NoClassDefFoundError("Node");
                        });

        assertThrows(NoClassDefFoundError.class, action::run);
        assertEquals(mEvents, List.of("halt"));
    }

    @Test
    public void errorIsReportedBeforeTheProcessEnds() {
        FailFast failFast =
                new FailFast(error -> mEvents.add(error.getMessage()), () -> mEvents.add("halt"));

        failFast.guard(
                        () -> {
                            throw new IllegalStateException("no rule");
                        })
                .run();

        assertEquals(mEvents, List.of("no rule", "halt"));
    }

    @Test
    public void actionThatSucceedsEndsNothing() {
        new FailFast(error -> mEvents.add("report"), () -> mEvents.add("halt"))
                .guard(() -> mEvents.add("action"))
                .run();

        assertEquals(mEvents, List.of("action"));
    }
}
