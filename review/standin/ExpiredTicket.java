import java.nio.file.Path;
import java.util.Map;
import java.util.Set;

/** The store is down for a few seconds while jobs of a queue with advice are between two steps. */
final class ExpiredTicket {
    private static final long DOWN_MS = 4500;
    private static final long VALID_MS = 3000;
    private static final Fleet.Work WORK = new Fleet.Work(1000, 1000, 1000);

    private static Day.Job job(Day day) {
        Day.Step step = new Day.Step(4, WORK, ",\"antiAffinity\":2");
        return day.job("photo", step, step);
    }

    public static void main(String[] args) {
        Day.run(
                () -> {
                    Advice advice = new Advice(20, 2, VALID_MS, Set.of("m-1", "m-4"));
                    Day day =
                            new Day(
                                    Path.of(args[0]),
                                    new Day.Deployment(Map.of("photo", 6), "", advice.fields()),
                                    advice);
                    day.begin(() -> job(day));
                    day.startTraffic(200, () -> job(day));
                    Day.pause(8000);
                    if (Day.isTrouble()) {
                        day.mRecorder.line("the store is down");
                        day.mStore.setDown(true);
                    }
                    Day.pause(DOWN_MS);
                    if (Day.isTrouble()) {
                        day.mStore.setDown(false);
                        day.mRecorder.line("the store is back");
                    }
                    Day.pause(12_000);
                    day.finish("LOST", day.lost());
                });
    }
}
