import java.nio.file.Path;
import java.util.Map;
import java.util.Set;

/** A queue with advice gets five times its usual jobs for a few seconds. */
final class AdviceBurst {
    private static final long BURST_MS = 6000;
    private static final long USUAL_INTERVAL_MS = 300;
    private static final int FACTOR = 5;
    private static final Fleet.Work WORK = new Fleet.Work(1000, 1000, 1000);

    private static Day.Job job(Day day) {
        Day.Step step = new Day.Step(4, WORK, "");
        return day.job("photo", step, step);
    }

    public static void main(String[] args) {
        Day.run(
                () -> {
                    Advice advice = new Advice(40, 4, 3000, Set.of("m-1", "m-4"));
                    Day day =
                            new Day(
                                    Path.of(args[0]),
                                    new Day.Deployment(Map.of("photo", 6), "", advice.fields()),
                                    advice);
                    day.begin(() -> job(day));
                    day.startTraffic(USUAL_INTERVAL_MS, () -> job(day));
                    Day.pause(6000);
                    if (Day.isTrouble()) {
                        day.mRecorder.line("the burst begins");
                        int jobs = (int) (BURST_MS / USUAL_INTERVAL_MS) * (FACTOR - 1);
                        for (int n = 0; n < jobs; n++) {
                            day.handInLater(job(day));
                            Day.pause(BURST_MS / jobs);
                        }
                        day.mRecorder.line("the burst is over");
                    } else {
                        Day.pause(BURST_MS);
                    }
                    Day.pause(15_000);
                    day.finish("LOST", day.lost());
                });
    }
}
