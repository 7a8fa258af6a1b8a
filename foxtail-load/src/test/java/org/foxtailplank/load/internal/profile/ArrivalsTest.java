package org.foxtailplank.load.internal.profile;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Planned arrivals and the profiles they come from. */
public class ArrivalsTest {

    private static final String TRAFFIC =
            "{'name':'%s','service':'s','share':%s,'requestClass':'urgent','team':'t',"
                    + "'repeatable':true,'keyed':false,'deadlineMs':100,'bodyBytes':64}";

    @Test
    public void planTheSameRequestsForTheSameSeed() throws Exception {
        assertEquals(plan(7), plan(7));
        assertTrue(!plan(7).equals(plan(8)));
    }

    @Test
    public void keepTheMeanRateAndTheShares() throws Exception {
        List<PlannedRequest> plan = plan(7);

        long often = plan.stream().filter(r -> r.traffic().name().equals("often")).count();
        assertEquals(plan.size(), 10_000.0, 400.0);
        assertEquals((double) often / plan.size(), 0.75, 0.03);
    }

    @Test
    public void refuseAProfileWithAnUnknownKeyAndNameTheLine() {
        String text =
                "{// a comment\n'name':'p','capacityPerSecond':1,'traffic':["
                        + String.format(TRAFFIC, "often", "3")
                        + "],\n'nam':'x'}";
        ProfileException e =
                expectThrows(
                        ProfileException.class,
                        () -> ProfileReader.parse(text.replace('\'', '"'), "x.jsonc"));
        assertTrue(e.getMessage().contains("x.jsonc, line 3"), e.getMessage());
        assertTrue(e.getMessage().contains("nam"), e.getMessage());
    }

    private static List<PlannedRequest> plan(long seed) throws ProfileException {
        String text =
                "{'name':'p','capacityPerSecond':100,'traffic':["
                        + String.format(TRAFFIC, "often", "3")
                        + ","
                        + String.format(TRAFFIC, "seldom", "1")
                        + "]}";
        Profile profile = ProfileReader.parse(text.replace('\'', '"'), "p.jsonc");
        return Arrivals.of(profile, new Random(seed)).plan(1000, Duration.ofSeconds(10));
    }
}
