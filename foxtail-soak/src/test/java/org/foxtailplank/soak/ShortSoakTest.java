package org.foxtailplank.soak;

import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.foxtailplank.soak.SoakEvent.SubmitAnswer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Short runs with real nodes; longer ones and more seeds are played by hand. */
public class ShortSoakTest {
    private static final SoakSize SIZE = new SoakSize(10, 3, 6, 15);

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}};
    }

    @Test(dataProvider = "seeds", timeOut = 240_000)
    public void noPromiseIsBrokenUnderFaults(long seed) throws Exception {
        assertIsKept(Schedule.draw(seed, SIZE), "seed-" + seed);
    }

    /** Guards against accepted jobs that are lost when outages outlast the store's history. */
    @Test(timeOut = 240_000)
    public void noPromiseIsBrokenByOutagesThatOutlastTheRetention() throws Exception {
        String text = Files.readString(Path.of("schedules", "outages-in-series.txt"));
        assertIsKept(Schedule.parse(text), "outages-in-series");
    }

    private static void assertIsKept(Schedule schedule, String name) throws Exception {
        Path folder = Path.of("target", "soak", name);
        SoakRun.Result result = new SoakRun(schedule, folder, t -> {}).play();

        assertTrue(result.isKept(), SoakReport.text(schedule, result, folder));
        long accepted =
                result.events().stream()
                        .filter(e -> e instanceof SubmitAnswer a && a.isAccepted())
                        .count();
        assertTrue(accepted > 0, "nothing was accepted, so that nothing was checked");
    }
}
