package org.amaranthlock.coordination.reservation;

/** Listener for the reservations that a host asks for and grants. */
public interface ReservationListener {
    /** Called when a request of this host has ended, {@code millis} after it was sent. */
    void onEnded(Result result, long millis);

    /** Called when this host has granted a reservation to another one, which makes {@code outstanding} of them. */
    void onGrantedToPeer(int outstanding);

    /** Returns a listener that does nothing. */
    static ReservationListener none() {
        return new ReservationListener() {
            @Override
            public void onEnded(Result result, long millis) {}

            @Override
            public void onGrantedToPeer(int outstanding) {}
        };
    }

    /** How a request ended. */
    enum Result {
        /** The keeper has reserved an engine. */
        GRANTED("granted"),

        /** This host is the keeper itself. */
        GRANTED_LOCALLY("granted-locally"),

        /** The keeper could not be reached, or did not answer in time. */
        UNANSWERED("unanswered");

        private final String label;

        Result(String label) {
            this.label = label;
        }

        /** Returns the name of the result in metrics. */
        public String label() {
            return label;
        }
    }
}
