package org.amaranthlock.entry.explain;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.amaranthlock.coordination.placement.CandidateCost;
import org.amaranthlock.coordination.placement.PlacementChoice;

/** Selects what an explanation lists, so that its size is bounded in a fleet of any size. */
final class Listing {
    /** Maximum number of entries of each list, besides a chosen candidate that is not among the cheapest. */
    static final int MAX_ITEMS = 20;

    private Listing() {}

    /** Returns the cheapest candidates, and the chosen one if it is not among them, cheapest first. */
    static List<CandidateCost> cheapest(PlacementChoice choice) {
        Comparator<CandidateCost> order = Comparator.comparingDouble(CandidateCost::total);
        Stream<CandidateCost> cheapest =
                choice.candidates().stream().sorted(order).limit(MAX_ITEMS);
        return Stream.concat(cheapest, Stream.of(choice.chosen())).distinct().toList();
    }
}
