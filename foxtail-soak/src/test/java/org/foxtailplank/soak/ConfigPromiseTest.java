package org.foxtailplank.soak;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.soak.SoakEvent.RouteAnswered;
import org.foxtailplank.soak.SoakEvent.RouteChanged;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The check of CONFIG objects to a history that breaks it; no other check does. */
public class ConfigPromiseTest {
    private List<SoakEvent> mEvents;

    @BeforeMethod
    public void setUp() {
        mEvents = new ArrayList<>();
    }

    private void onlyBroken(Promise... broken) {
        for (Promise p : Promise.values()) {
            boolean expected = List.of(broken).contains(p);
            assertEquals(!p.check(mEvents).isEmpty(), expected, p + " " + p.check(mEvents));
        }
    }

    private void routes(int count) {
        for (int r = 0; r < count; r++) {
            mEvents.add(new RouteChanged(r * 100, "route-" + r, true));
        }
    }

    private void answered(long sentMs, long atMs, String route, int boot, int status) {
        mEvents.add(new RouteAnswered(atMs, route, sentMs, 0, boot, status));
    }

    @Test
    public void aRouteThatIsNotServedLongAfterItWasAddedBreaksTheConfiguration() {
        routes(1);
        answered(2900, 2910, "route-0", 1, 404);
        onlyBroken();
        answered(3100, 3110, "route-0", 1, 404);
        onlyBroken(Promise.CONFIG);
    }

    @Test
    public void aRouteThatWasNeverAddedIsNotServed() {
        answered(100, 110, "route-9", 1, 200);
        onlyBroken(Promise.CONFIG);
    }

    @Test
    public void anEarlierRequestMayNotBeHandledByANewerVersion() {
        routes(2);
        answered(300, 900, "route-1", 1, 200);
        answered(540, 550, "route-1", 1, 404);
        onlyBroken();
        answered(560, 570, "route-1", 1, 404);
        onlyBroken(Promise.CONFIG);
    }

    @Test
    public void aDroppedRouteIsNotServedAfterANewerVersionWas() {
        routes(2);
        mEvents.add(new RouteChanged(300, "route-0", false));
        mEvents.add(new RouteChanged(301, "route-2", true));
        answered(400, 410, "route-2", 1, 200);
        answered(700, 710, "route-0", 1, 200);
        onlyBroken(Promise.CONFIG);
    }

    @Test
    public void aProcessThatStartsAgainMayKnowAnOlderVersionAtFirst() {
        routes(2);
        answered(300, 310, "route-1", 1, 200);
        answered(900, 910, "route-1", 2, 404);
        onlyBroken();
    }

    @Test
    public void aNodeThatWasPausedMayDecideRequestsInAnotherOrder() {
        routes(2);
        answered(300, 1500, "route-1", 1, 200);
        answered(700, 1500, "route-1", 1, 404);
        onlyBroken();
    }
}
