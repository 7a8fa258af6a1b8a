import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A job of one subtask that recurs each minute for a year; without the trouble, eight times. */
final class RecurringJob {
    private static final int YEAR = 525_600;
    private static final int FEW = 8;
    private static final long PERIOD_MS = 60_000;
    private static final int FAULTY_ENDS = 3;
    private static final int FAULTY_NODES = 2;
    private static final Fleet.Work WORK = new Fleet.Work(3500, 10_000, 1000);

    public static void main(String[] args) {
        Day.run(
                () -> {
                    Map<String, Integer> pools = new LinkedHashMap<>();
                    pools.put("photo", 6);
                    pools.put("soil", 6);
                    pools.put("admin", 3);
                    Day day = new Day(Path.of(args[0]), new Day.Deployment(pools, "admin", ""));
                    Day.Step small = new Day.Step(6, WORK, "");
                    day.begin(() -> day.job("photo", small));
                    day.startTraffic(500, () -> day.job("photo", small));
                    day.startTraffic(500, () -> day.job("soil", small));
                    Day.pause(6000);
                    String schedule =
                            "\"repeats\":" + (Day.isTrouble() ? YEAR : FEW) + ",\"startMs\":"
                                    + System.currentTimeMillis() + ",\"periodMs\":" + PERIOD_MS
                                    + ",";
                    // An owner may end before it has answered; the job is stored by then.
                    day.handIn(day.job("photo", schedule, new Day.Step(1, WORK, "")));
                    Day.pause(25_000);
                    List<String> lost = day.lost();
                    lost.forEach(l -> day.mRecorder.line("also LOST: " + l));
                    List<String> faulty = new ArrayList<>();
                    for (Nodes.Node n : day.mNodes.all()) {
                        if (n.ownEnds() >= FAULTY_ENDS) {
                            faulty.add(n.name() + " ended by itself " + n.ownEnds() + " times");
                        }
                    }
                    day.finish("Fault", faulty.size() >= FAULTY_NODES ? faulty : List.of());
                });
    }
}
