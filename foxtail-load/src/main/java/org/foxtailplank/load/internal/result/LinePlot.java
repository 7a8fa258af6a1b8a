package org.foxtailplank.load.internal.result;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A small line plot as SVG. */
public final class LinePlot {

    private static final int WIDTH = 640;
    private static final int HEIGHT = 280;
    private static final int MARGIN = 50;
    private static final int LABEL_STEP = 16;

    /**
     * A point of a line.
     *
     * @param x horizontal value
     * @param y vertical value
     */
    public record Point(double x, double y) {}

    private record Line(String label, String colour, List<Point> points) {}

    private final String mTitle;
    private final String mAxis;
    private final List<Line> mLines = new ArrayList<>();

    private LinePlot(String title, String axis) {
        mTitle = title;
        mAxis = axis;
    }

    /** An empty plot with a title and a label of the horizontal axis. */
    public static LinePlot titled(String title, String axis) {
        return new LinePlot(title, axis);
    }

    /** Adds a line. */
    public LinePlot add(String label, String colour, List<Point> points) {
        mLines.add(new Line(label, colour, List.copyOf(points)));
        return this;
    }

    /** Draws it. */
    public String toSvg() {
        double maxX = max(true);
        double maxY = max(false);
        StringBuilder svg = new StringBuilder();
        svg.append(format("<h2>%s</h2><svg width='%d' height='%d'>", mTitle, WIDTH, HEIGHT));
        svg.append(
                format(
                        "<path d='M%d,%d V%d H%d' fill='none' stroke='#555'/>",
                        MARGIN, MARGIN / 2, HEIGHT - MARGIN, WIDTH - MARGIN));
        svg.append(text(2, MARGIN / 2 + 4, format("%.3g", maxY)));
        svg.append(text(WIDTH - MARGIN - 10, HEIGHT - MARGIN + 18, format("%.3g", maxX)));
        svg.append(text(WIDTH / 2 - 40, HEIGHT - 10, mAxis));
        for (int i = 0; i < mLines.size(); i++) {
            svg.append(line(mLines.get(i), i, maxX, maxY));
        }
        return svg.append("</svg>").toString();
    }

    private String line(Line line, int index, double maxX, double maxY) {
        StringBuilder points = new StringBuilder();
        for (Point p : line.points) {
            double x = MARGIN + p.x / maxX * (WIDTH - 2 * MARGIN);
            double y = HEIGHT - MARGIN - p.y / maxY * (HEIGHT - 1.5 * MARGIN);
            points.append(format("%.1f,%.1f ", x, y));
        }
        int labelY = MARGIN / 2 + (index + 1) * LABEL_STEP;
        return format(
                        "<polyline points='%s' fill='none' stroke='%s' stroke-width='2'/>",
                        points, line.colour)
                + format(
                        "<text x='%d' y='%d' fill='%s' font-size='12'>%s</text>",
                        MARGIN + 10, labelY, line.colour, line.label);
    }

    private static String text(int x, int y, String text) {
        return format("<text x='%d' y='%d' font-size='12'>%s</text>", x, y, text);
    }

    private double max(boolean horizontal) {
        double max =
                mLines.stream()
                        .flatMap(l -> l.points.stream())
                        .mapToDouble(p -> horizontal ? p.x : p.y)
                        .max()
                        .orElse(1);
        return max > 0 ? max : 1;
    }

    private static String format(String pattern, Object... values) {
        return String.format(Locale.ROOT, pattern, values);
    }
}
