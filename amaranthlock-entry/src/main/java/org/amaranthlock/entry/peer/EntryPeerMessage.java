package org.amaranthlock.entry.peer;

import java.util.List;
import java.util.Objects;
import org.amaranthlock.coordination.forwarding.HostLoadReport;
import org.amaranthlock.platform.StoreChange;

/** What entry hosts tell each other. */
public sealed interface EntryPeerMessage {
    /** What the sender has in flight and has found out. */
    record News(HostLoadReport report) implements EntryPeerMessage {
        /** Checks that there are news. */
        public News {
            Objects.requireNonNull(report, "news");
        }
    }

    /**
     * Asks whether a configuration is still the newest; answered when the answering host has confirmed it again.
     *
     * @param id number of the question on its link
     * @param revision the store's revision of the configuration that the sender knows
     */
    record ConfigurationQuery(long id, long revision) implements EntryPeerMessage {}

    /**
     * Asks for changes of targets; answered when there are some, or after some seconds without any.
     *
     * @param id number of the question on its link
     * @param revision the store's revision after which changes count
     */
    record TargetsQuery(long id, long revision) implements EntryPeerMessage {}

    /** Answer to a question, with the question's number. */
    sealed interface Answer extends EntryPeerMessage {
        /** Returns the number of the question on its link. */
        long id();
    }

    /**
     * The configuration of a question is the newest.
     *
     * @param ageMillis time from when the confirming call was sent to this answer, milliseconds, suspensions included
     */
    record ConfigurationConfirmed(long id, long ageMillis) implements Answer {}

    /**
     * Changes of targets, in the store's order.
     *
     * @param revision revision from which to go on
     */
    record TargetsChanged(long id, long revision, List<StoreChange> changes) implements Answer {
        /** Copies the changes. */
        public TargetsChanged {
            changes = List.copyOf(changes);
        }
    }

    /** The answering host cannot say; ask the store. */
    record NotKnown(long id) implements Answer {}
}
