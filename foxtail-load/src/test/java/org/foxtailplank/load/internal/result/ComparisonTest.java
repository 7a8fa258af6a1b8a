package org.foxtailplank.load.internal.result;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.foxtailplank.load.internal.run.Ending;
import org.testng.annotations.Test;

/** Comparison of two results. */
public class ComparisonTest {

    @Test
    public void givesAVerdictWhereTheRunsLieApart() {
        List<String> lines = Comparison.lines(result(100, 101), result(120, 125));
        assertTrue(lines.get(0).endsWith("B better"), lines.get(0));
    }

    @Test
    public void givesNoVerdictWhereTheRunsOverlap() {
        List<String> lines = Comparison.lines(result(100, 121), result(120, 125));
        assertTrue(lines.get(0).endsWith("no verdict"), lines.get(0));
    }

    @Test
    public void givesNoVerdictFromSingleRuns() {
        List<String> lines = Comparison.lines(result(100), result(200));
        assertTrue(lines.get(0).endsWith("no verdict"), lines.get(0));
    }

    @Test
    public void readsBackWhatItWrote() throws Exception {
        Path file = Files.createTempFile("result", ".json");
        try {
            Files.writeString(file, result(100, 101).toJson());
            assertEquals(LoadResult.read(file), result(100, 101));
        } finally {
            Files.delete(file);
        }
    }

    @Test
    public void drawsAPlotForEachFigure() {
        String html = HtmlReport.of(result(100));
        assertEquals(html.split("<svg", -1).length - 1, 3);
    }

    private static LoadResult result(double... goodputs) {
        List<List<StepResult>> runs = new ArrayList<>();
        for (double goodput : goodputs) {
            runs.add(
                    List.of(
                            new StepResult(
                                    1,
                                    100,
                                    1,
                                    Map.of(Ending.OK, 100L),
                                    goodput,
                                    new Percentiles(1, 2, 3, 4, 5))));
        }
        return new LoadResult("p", 1, "machine", 100, runs);
    }
}
