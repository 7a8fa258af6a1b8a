import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/** A gang whose subtasks need a minion each comes while the demand of its queue is low. */
final class QuietGang {
    private static final Fleet.Work SMALL = new Fleet.Work(3500, 10_000, 1000);
    private static final Fleet.Work MEMBER = new Fleet.Work(3500, 10_000, 1000);

    private static Day.Job job(Day day, String pool) {
        return day.job(pool, new Day.Step(6, SMALL, ""));
    }

    public static void main(String[] args) {
        Day.run(
                () -> {
                    Map<String, Integer> pools = new LinkedHashMap<>();
                    pools.put("photo", 6);
                    pools.put("soil", 6);
                    pools.put("admin", 3);
                    Day day = new Day(Path.of(args[0]), new Day.Deployment(pools, "admin", ""));
                    day.begin(() -> job(day, "soil"));
                    day.startTraffic(1000, () -> job(day, "soil"));
                    // The mean demand of the queue, and a twentieth of it.
                    long[] everyMs = {Day.isTrouble() ? 2000 : 100};
                    day.startTraffic(everyMs[0], () -> job(day, "photo"));
                    Day.pause(15_000);
                    long[] load = day.mFleet.load("photo-desk");
                    day.mRecorder.line("photo-desk has " + load[0] + ", in use " + load[1]);
                    Day.Job gang =
                            day.job(
                                    "photo",
                                    new Day.Step(5, MEMBER, ",\"gang\":true,\"antiAffinity\":1"));
                    if (!day.handIn(gang)) {
                        day.giveUp("the gang was not accepted");
                    }
                    Day.pause(10_000);
                    day.finish("LOST", day.lost());
                });
    }
}
