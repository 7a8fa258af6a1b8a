package org.foxtailplank.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.process.ExitCode;
import org.foxtailplank.process.Json;
import org.foxtailplank.slo.IntervalReport;
import org.foxtailplank.slo.ServiceCounts;
import org.foxtailplank.slo.Spend;
import org.foxtailplank.wire.BurnCodec;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Reports service-level burn from the platform's log. */
public final class ReportCommandsTest {
    private static final String READ = "GET /v1/streams/burn/records";

    private FakeApi mPlatform;
    private Path mSettings;
    private Path mPage;

    private record Entry(long offset, String id, String data) {}

    private record Page(long oldest, long end, List<Entry> records) {}

    @BeforeMethod
    void start() throws Exception {
        mPlatform = new FakeApi();
        mSettings = Files.createTempFile("base", ".jsonc");
        mPage = Files.createTempFile("burn", ".html");
        String example = Files.readString(Path.of("../examples/stabilis/base.jsonc"));
        Files.writeString(mSettings, example.replace("127.0.0.1:8600", mPlatform.address()));
    }

    @AfterMethod(alwaysRun = true)
    void stop() throws Exception {
        mPlatform.close();
        Files.delete(mSettings);
        Files.delete(mPage);
    }

    /**
     * The oldest reports have expired, an entry was replaced, and one append was repeated after its
     * answer got lost: the report still counts each interval that the log holds exactly once.
     */
    @Test
    void mergesTheReportsOfAllNodesOnce() throws Exception {
        IntervalReport gone = report("sofia-1-e1", 7, 90, 10);
        mPlatform.answers(READ, 410, Json.write(new Page(5, 9, List.of())));
        mPlatform.answers(READ, 200, page(5, gone, gone, report("sofia-1-e1", 8, 95, 5)));
        mPlatform.answers(READ, 200, page(8));
        CliRun run = burn("--service", "valuation", "--html", mPage.toString());
        assertEquals(run.code(), ExitCode.DONE, run.err());
        String row = run.out().lines().filter(l -> l.startsWith("valuation")).findFirst().get();
        assertTrue(row.contains(" 200 ") && row.endsWith("failed 15"), run.out());
        assertEquals(run.out().lines().count(), 2, run.out());
        String page = Files.readString(mPage);
        assertTrue(page.contains("<title>failed 15</title>"), page);
    }

    @Test
    void aServiceThatIsNotThereIsAUsageError() {
        CliRun run = burn("--service", "valuatoin");
        assertEquals(run.code(), ExitCode.USAGE);
        assertTrue(run.err().contains("no service \"valuatoin\""), run.err());
    }

    @Test
    void aPlatformThatDoesNotAnswerIsAFailure() throws Exception {
        mPlatform.answers(READ, 503, "{\"error\":\"down\"}");
        CliRun run = burn();
        assertEquals(run.code(), ExitCode.FAILED);
        assertTrue(run.err().contains("check platform.address"), run.err());
    }

    private CliRun burn(String... more) {
        List<String> args = new ArrayList<>(List.of("report", "burn", "--settings"));
        args.add(mSettings.toString());
        args.addAll(List.of(more));
        return CliRun.of(args.toArray(String[]::new));
    }

    private static String page(long first, IntervalReport... reports) {
        List<Entry> entries = new ArrayList<>();
        for (IntervalReport report : reports) {
            String data = Base64.getEncoder().encodeToString(BurnCodec.encode(report));
            entries.add(new Entry(first + entries.size(), "r" + entries.size(), data));
        }
        return Json.write(new Page(5, first + entries.size(), entries));
    }

    private static IntervalReport report(String node, long incarnation, long good, long failed) {
        ServiceCounts counts = new ServiceCounts(Map.of(Spend.NONE, good, Spend.FAILED, failed));
        return new IntervalReport(
                NodeId.of(node),
                incarnation,
                1,
                Instant.now(),
                Map.of(ServiceId.of("valuation"), counts));
    }
}
