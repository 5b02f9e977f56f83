package org.amaranthlock.coordination.placement;

/** Listener for the reasons for which targets are chosen. */
public interface PlacementListener {
    /** Called when a target has been chosen. */
    void onChosen(Reason reason);

    /** Returns a listener that does nothing. */
    static PlacementListener none() {
        return _ -> {};
    }

    /** Why a target was chosen. */
    enum Reason {
        /** No target has a shorter expected delay. */
        SHORTEST_DELAY("shortest-delay"),

        /** Other targets have a shorter expected delay, but unseen requests of other hosts are expected there. */
        UNSEEN_REQUESTS("unseen-requests"),

        /** It is the only one that can be chosen. */
        ONLY_TARGET("only-target");

        private final String label;

        Reason(String label) {
            this.label = label;
        }

        /** Returns the name of the reason in metrics. */
        public String label() {
            return label;
        }
    }
}
