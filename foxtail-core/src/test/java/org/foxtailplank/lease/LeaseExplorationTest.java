package org.foxtailplank.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.lease.LeaseModel.Guards;
import org.foxtailplank.lease.LeaseModel.Scope;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Explores all event orders up to a depth, with delayed messages, suspensions, clock steps and
 * owner changes. Guards against a replaced owner calling the VM service after its successor.
 */
public class LeaseExplorationTest {
    private static final Scope ALL = new Scope(3, true, true, true);
    private static final Scope THREE_OWNERS = new Scope(3, false, false, true);
    private static final Scope TWO_OWNERS = new Scope(2, false, false, false);
    private static final Scope SUSPENSIONS = new Scope(2, true, false, false);
    private static final Scope CLOCKS = new Scope(2, false, true, false);

    /** Search depth that reveals the violation for each missing guard. */
    private static final int FAULT_DEPTH = 16;

    /** Breadth-first search that visits each state once. */
    private static final class Search {
        private final Set<LeaseModel> mVisited = new HashSet<>();

        /**
         * Returns a state in which a lower token called after a higher one, if one is reachable.
         */
        Optional<LeaseModel> findViolation(Guards guards, Scope scope, int depth) {
            Set<LeaseModel> level = Set.of(LeaseModel.initial(guards, scope));
            for (int d = 0; d < depth; d++) {
                Set<LeaseModel> next = new HashSet<>();
                for (LeaseModel state : level) {
                    for (LeaseModel after : state.successors()) {
                        if (after.violated()) {
                            return Optional.of(after);
                        }
                        if (mVisited.add(after)) {
                            next.add(after);
                        }
                    }
                }
                level = next;
            }
            return Optional.empty();
        }
    }

    /** Scopes, the search depth and the minimum number of distinct states to visit. */
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
    public void noEventOrderLetsAReplacedOwnerCallAfterItsSuccessor(
            Scope scope, int depth, int minStates) {
        Search search = new Search();

        assertEquals(search.findViolation(Guards.all(), scope, depth), Optional.empty());
        assertTrue(
                search.mVisited.size() >= minStates, "visited states: " + search.mVisited.size());
    }

    @DataProvider
    public Object[][] missingGuards() {
        return new Object[][] {
            {
                "the lease starts at the response",
                new Guards(false, true, true, true, true),
                TWO_OWNERS
            },
            {"the successor doesn't wait", new Guards(true, false, true, true, true), CLOCKS},
            {"the wall clock is ignored", new Guards(true, true, false, true, true), SUSPENSIONS},
            {"the monotonic clock is ignored", new Guards(true, true, true, false, true), CLOCKS},
            {
                "pending calls of a stopped owner are ignored",
                new Guards(true, true, true, true, false),
                THREE_OWNERS
            },
        };
    }

    @Test(dataProvider = "missingGuards")
    public void eachMissingGuardLetsAReplacedOwnerCallLate(
            String missingGuard, Guards guards, Scope scope) {
        Search search = new Search();
        boolean found = search.findViolation(guards, scope, FAULT_DEPTH).isPresent();
        assertTrue(found, missingGuard);
    }
}
