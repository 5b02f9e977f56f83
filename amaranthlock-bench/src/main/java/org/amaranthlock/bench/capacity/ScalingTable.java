package org.amaranthlock.bench.capacity;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** Prints the measured points of a series, the lines fitted to them and the extrapolated values at the design size. */
final class ScalingTable {
    private final PrintWriter out;

    ScalingTable(PrintWriter out) {
        this.out = out;
    }

    /** Metric of a series; {@link Double#NaN} stands for no limit. */
    record Metric(String title, ToDoubleFunction<FleetMeasurement> value, double limit) {}

    void print(
            String series,
            ToDoubleFunction<FleetSize> variedParameter,
            List<FleetMeasurement> measurements,
            List<Metric> metrics) {
        out.println();
        out.println("series: " + series);
        StringBuilder header = new StringBuilder(String.format(Locale.ROOT, "%-38s", "figure"));
        for (FleetMeasurement measurement : measurements) {
            header.append(String.format(Locale.ROOT, " %10.4g", variedParameter.applyAsDouble(measurement.size())));
        }
        double designSize = variedParameter.applyAsDouble(FleetSize.DESIGN_SIZE);
        out.println(header
                + String.format(
                        Locale.ROOT,
                        " | %10s %10s %6s %10s %8s",
                        "slope",
                        "intercept",
                        "R2",
                        "at " + formatSize(designSize),
                        "limit"));
        for (Metric metric : metrics) {
            List<LinearFit.Point> points = new ArrayList<>();
            StringBuilder row = new StringBuilder(String.format(Locale.ROOT, "%-38s", metric.title()));
            for (FleetMeasurement measurement : measurements) {
                double value = metric.value().applyAsDouble(measurement);
                points.add(new LinearFit.Point(variedParameter.applyAsDouble(measurement.size()), value));
                row.append(String.format(Locale.ROOT, " %10.1f", value));
            }
            out.println(row + formatFit(points, designSize, metric.limit()));
        }
        out.flush();
    }

    /** Formats the line fitted to the points, its value at the design size and the limit; one point gets no line. */
    private static String formatFit(List<LinearFit.Point> points, double designSize, double limit) {
        String limitText = Double.isNaN(limit) ? "-" : String.format(Locale.ROOT, "%.0f", limit);
        if (points.size() < 2) {
            return String.format(Locale.ROOT, " | %10s %10s %6s %10s %8s", "-", "-", "-", "-", limitText);
        }
        LinearFit fit = LinearFit.fit(points);
        return String.format(
                Locale.ROOT,
                " | %10.4g %10.1f %6.3f %10.1f %8s",
                fit.slope(),
                fit.intercept(),
                fit.r2(),
                fit.valueAt(designSize),
                limitText);
    }

    /** Prints the messages, platform calls and events of one measurement by kind. */
    void printByKind(String title, FleetMeasurement measurement) {
        out.println();
        out.println("by kind, " + title
                + " (messages and bytes sent, events and their processor time: per router and second)");
        measurement
                .metrics()
                .messages()
                .forEach((kind, total) -> printRow(
                        "message " + kind,
                        measurement.perRouterPerSecond(total.count()),
                        measurement.perRouterPerSecond(total.sum()),
                        "bytes/s"));
        measurement
                .metrics()
                .platformCalls()
                .forEach((kind, total) -> printRow(
                        "call " + kind + " (whole fleet)",
                        total.count() / measurement.seconds(),
                        total.sum() / measurement.seconds(),
                        "bytes/s"));
        measurement
                .metrics()
                .events()
                .forEach((kind, total) -> printRow(
                        "event " + kind,
                        measurement.perRouterPerSecond(total.count()),
                        measurement.perRouterPerSecond(total.sum()) / 1_000,
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
