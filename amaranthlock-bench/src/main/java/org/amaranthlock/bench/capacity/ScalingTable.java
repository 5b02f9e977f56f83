package org.amaranthlock.bench.capacity;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** Prints the measured points of a series, the lines through them and the values at the stated size. */
final class ScalingTable {
    private final PrintWriter out;

    ScalingTable(PrintWriter out) {
        this.out = out;
    }

    /** A figure of a series; no limit is written as {@link Double#NaN}. */
    record Metric(String title, ToDoubleFunction<FleetMeasurement> value, double limit) {}

    void print(
            String series, ToDoubleFunction<FleetSize> varied, List<FleetMeasurement> samples, List<Metric> figures) {
        out.println();
        out.println("series: " + series);
        StringBuilder head = new StringBuilder(String.format(Locale.ROOT, "%-38s", "figure"));
        for (FleetMeasurement sample : samples) {
            head.append(String.format(Locale.ROOT, " %10.4g", varied.applyAsDouble(sample.size())));
        }
        double stated = varied.applyAsDouble(FleetSize.DESIGN_SIZE);
        out.println(head
                + String.format(
                        Locale.ROOT,
                        " | %10s %10s %6s %10s %8s",
                        "slope",
                        "intercept",
                        "R2",
                        "at " + formatSize(stated),
                        "limit"));
        for (Metric figure : figures) {
            List<LinearFit.Point> points = new ArrayList<>();
            StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%-38s", figure.title()));
            for (FleetMeasurement sample : samples) {
                double value = figure.value().applyAsDouble(sample);
                points.add(new LinearFit.Point(varied.applyAsDouble(sample.size()), value));
                line.append(String.format(Locale.ROOT, " %10.1f", value));
            }
            out.println(line + formatFit(points, stated, figure.limit()));
        }
        out.flush();
    }

    /** Returns the line through the points, its value at the stated size and the limit; no line through one point. */
    private static String formatFit(List<LinearFit.Point> points, double stated, double limit) {
        String limitText = Double.isNaN(limit) ? "-" : String.format(Locale.ROOT, "%.0f", limit);
        if (points.size() < 2) {
            return String.format(Locale.ROOT, " | %10s %10s %6s %10s %8s", "-", "-", "-", "-", limitText);
        }
        LinearFit slope = LinearFit.fit(points);
        return String.format(
                Locale.ROOT,
                " | %10.4g %10.1f %6.3f %10.1f %8s",
                slope.slope(),
                slope.intercept(),
                slope.r2(),
                slope.valueAt(stated),
                limitText);
    }

    /** Prints the messages, platform calls and events of one sample by kind. */
    void printByKind(String title, FleetMeasurement sample) {
        out.println();
        out.println("by kind, " + title + " (messages and bytes sent, events and their time: per router and second)");
        sample.metrics()
                .messages()
                .forEach((kind, total) -> printRow(
                        "message " + kind,
                        sample.perRouterSecond(total.count()),
                        sample.perRouterSecond(total.sum()),
                        "bytes/s"));
        sample.metrics()
                .platformCalls()
                .forEach((kind, total) -> printRow(
                        "call " + kind + " (whole fleet)",
                        total.count() / sample.seconds(),
                        total.sum() / sample.seconds(),
                        "bytes/s"));
        sample.metrics()
                .events()
                .forEach((kind, total) -> printRow(
                        "event " + kind,
                        sample.perRouterSecond(total.count()),
                        sample.perRouterSecond(total.sum()) / 1_000,
                        "us/s"));
        out.flush();
    }

    private void printRow(String name, double count, double sum, String unit) {
        out.printf(
                Locale.ROOT,
                "%-38s %10.2f /s %12.1f %s%s%n",
                name,
                count,
                sum,
                unit,
                count == 0 ? "" : String.format(Locale.ROOT, " (%.1f each)", sum / count));
    }

    private static String formatSize(double value) {
        return String.format(Locale.ROOT, "%.4g", value);
    }
}
