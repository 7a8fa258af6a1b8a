package org.foxtailplank.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.lease.LeaseWorld.Rules;
import org.foxtailplank.lease.LeaseWorld.Scope;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Every order of events among owners that follow each other, up to a depth: appends and calls that
 * arrive late, suspensions, clocks that are set forward and back, replacement at any moment.
 *
 * <p>What users see without the lease: an owner is cut off with its zone and replaced, goes on
 * calling, and a VM that the new owner has just moved is moved or rebooted again under its tasks.
 */
public class LeaseExplorationTest {
    private static final Scope ALL = new Scope(3, true, true, true);
    private static final Scope THREE_OWNERS = new Scope(3, false, false, true);
    private static final Scope TWO_OWNERS = new Scope(2, false, false, false);
    private static final Scope SUSPENSIONS = new Scope(2, true, false, false);
    private static final Scope CLOCKS = new Scope(2, false, true, false);

    /** Enough events for each fault to show, within its scope. */
    private static final int FAULT_DEPTH = 16;

    /** Looks at all orders of events, each state once. */
    private static final class Search {
        private final Set<LeaseWorld> mSeen = new HashSet<>();

        /** A state in which a lower token has called after a higher one, if there is one. */
        Optional<LeaseWorld> findBroken(Rules rules, Scope scope, int depth) {
            Set<LeaseWorld> level = Set.of(LeaseWorld.start(rules, scope));
            for (int d = 0; d < depth; d++) {
                Set<LeaseWorld> next = new HashSet<>();
                for (LeaseWorld world : level) {
                    for (LeaseWorld after : world.next()) {
                        if (after.broken()) {
                            return Optional.of(after);
                        }
                        if (mSeen.add(after)) {
                            next.add(after);
                        }
                    }
                }
                level = next;
            }
            return Optional.empty();
        }
    }

    /** Scopes with the depth to which they are looked at, and the states that this must reach. */
    @DataProvider
    public Object[][] scopes() {
        return new Object[][] {
            {ALL, 8, 295_000},
            {THREE_OWNERS, 11, 200_000},
            {SUSPENSIONS, 13, 600_000},
            {CLOCKS, 13, 400_000},
            {TWO_OWNERS, 18, 486_000},
        };
    }

    @Test(dataProvider = "scopes")
    public void noOrderOfEventsLetsAnEarlierOwnerCallAfterALaterOne(
            Scope scope, int depth, int states) {
        Search search = new Search();

        assertEquals(search.findBroken(Rules.all(), scope, depth), Optional.empty());
        assertTrue(search.mSeen.size() >= states, "states seen: " + search.mSeen.size());
    }

    @DataProvider
    public Object[][] missingGuards() {
        return new Object[][] {
            {
                "proofs count from their answers",
                new Rules(false, true, true, true, true),
                TWO_OWNERS
            },
            {"the successor does not wait", new Rules(true, false, true, true, true), CLOCKS},
            {"suspensions are not counted", new Rules(true, true, false, true, true), SUSPENSIONS},
            {"a clock that is set back counts", new Rules(true, true, true, false, true), CLOCKS},
            {"calls of who leaves", new Rules(true, true, true, true, false), THREE_OWNERS},
        };
    }

    @Test(dataProvider = "missingGuards")
    public void withoutOneGuardAnEarlierOwnerCallsLate(String what, Rules rules, Scope scope) {
        Search search = new Search();
        boolean found = search.findBroken(rules, scope, FAULT_DEPTH).isPresent();
        assertTrue(found, what);
    }
}
