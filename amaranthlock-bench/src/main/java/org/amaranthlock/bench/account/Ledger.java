package org.amaranthlock.bench.account;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.amaranthlock.platform.PlayReport;

/**
 * Splits the worth that a day lost into entries that add up to one minus its worth.
 *
 * @param entries what was lost, by cause
 * @param worth worth of the day
 */
record Ledger(List<Entry> entries, double worth) {
    private static final String WHOLE_DAY = "whole day";
    private static final String NINES = "nines";

    /** End of the last attempt of requests that fail on each target, so that no router can save them. */
    private static final String FAILED_BY_TARGET = "500 from a server";

    /** Share of unserved requests at which the part that counts in nines reaches its full value. */
    private static final double BEST_UNSERVED_SHARE = 0.001;

    /** Loss below which an entry is left out. */
    private static final double MIN_LOSS = 0.000_05;

    /**
     * Worth lost for one cause.
     *
     * @param cause what was lost
     * @param lost worth lost
     * @param fixed the part of it that no router could have saved, as far as the report shows it
     */
    record Entry(String cause, double lost, double fixed) {}

    Ledger {
        entries = List.copyOf(entries);
    }

    /**
     * Computes the ledger of a day.
     *
     * @param worthByKind worth of one request by kind, 1 for kinds that are not named
     */
    static Ledger of(PlayReport report, Map<String, Double> worthByKind) {
        List<Entry> entries = new ArrayList<>();
        for (PlayReport.Part part : report.parts()) {
            double lost = part.weight() * (1 - part.value());
            switch (part.name()) {
                case WHOLE_DAY -> entries.addAll(wholeDay(report, worthByKind, lost));
                case NINES -> entries.add(new Entry("requests not served, in nines", lost, fixedNines(report, part)));
                default -> entries.add(new Entry(part.name(), lost, 0));
            }
        }
        for (PlayReport.Price price : report.prices()) {
            entries.add(new Entry("price: " + price.name(), price.worth(), 0));
        }
        double rest =
                1 - report.worth() - entries.stream().mapToDouble(Entry::lost).sum();
        entries.add(new Entry("not explained by the report", rest, 0));
        entries.removeIf(entry -> Math.abs(entry.lost()) < MIN_LOSS);
        return new Ledger(entries, report.worth());
    }

    /** Returns the worth that was lost, which equals one minus the worth of the day. */
    double lost() {
        return entries.stream().mapToDouble(Entry::lost).sum();
    }

    /** Returns the worth that the day could have reached if only the fixed losses had remained. */
    double ceiling() {
        return 1 - entries.stream().mapToDouble(Entry::fixed).sum();
    }

    private static List<Entry> wholeDay(PlayReport report, Map<String, Double> worthByKind, double lost) {
        Map<String, Double> missed = new LinkedHashMap<>();
        for (PlayReport.Group kind : report.requestKinds()) {
            double owed = kind.owed() * worthByKind.getOrDefault(kind.name(), 1.0);
            missed.put(kind.name(), owed * (1 - kind.earnedFraction()));
        }
        double total = missed.values().stream().mapToDouble(Double::doubleValue).sum();
        List<Entry> entries = new ArrayList<>();
        missed.forEach((kind, value) ->
                entries.add(new Entry("whole day: " + kind, total == 0 ? 0 : lost * value / total, 0)));
        return entries;
    }

    private static double fixedNines(PlayReport report, PlayReport.Part nines) {
        long owed =
                report.requestKinds().stream().mapToLong(PlayReport.Group::owed).sum();
        long fixed = report.unserved().stream()
                .filter(unserved -> unserved.lastAttempt().equals(FAILED_BY_TARGET))
                .mapToLong(PlayReport.Unserved::requests)
                .sum();
        if (fixed == 0 || owed == 0) {
            return 0;
        }
        double bestValue = Math.min(1, Math.log((double) fixed / owed) / Math.log(BEST_UNSERVED_SHARE));
        return nines.weight() * (1 - bestValue);
    }
}
