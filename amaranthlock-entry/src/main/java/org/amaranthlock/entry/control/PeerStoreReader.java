package org.amaranthlock.entry.control;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.amaranthlock.entry.peer.EntryPeerMessage;
import org.amaranthlock.platform.ObjectVersion;
import org.amaranthlock.platform.StorePosition;
import org.amaranthlock.platform.StoreReply;

/** Reads from the store through a peer of the same failure domain, or region if the store is in another one. */
public interface PeerStoreReader {
    /**
     * Asks a peer whether a configuration is still the newest.
     *
     * @param version version of the object of the configuration
     * @param result receives the shortest possible time from sending the query to sending the call that confirms it, in
     *     milliseconds, which is negative if the call was sent first; empty if the peer cannot confirm the configuration
     * @return whether a query was sent to a peer; if not, {@code result} is not called
     */
    boolean confirmConfiguration(ObjectVersion version, Consumer<OptionalLong> result);

    /**
     * Returns how often peers have answered so far, other than with changes of targets; it stands still while the
     * connections to them are silent.
     */
    long answeredQueries();

    /**
     * Ends the queries that wait for peers, if there are any, and asks no peer for some time: the event that silenced a
     * connection to the store may have silenced those to the peers.
     */
    void giveUpQueries();

    /** Returns whether this host is the one of its failure domain to read the store if the queried peer cannot. */
    boolean isSuccessor();

    /**
     * Asks a peer for the object of the configuration, if the store is in another region.
     *
     * @param version version that is needed at least
     * @param result receives the object and the shortest possible time from sending the query to sending the call that
     *     confirms it, in milliseconds; empty if the peer does not know the object in time
     * @return whether a query was sent to a peer; if not, {@code result} is not called
     */
    default boolean fetchConfiguration(
            long version, long timeoutMillis, Consumer<Optional<EntryPeerMessage.ConfigurationFetched>> result) {
        return false;
    }

    /**
     * Asks a peer for changes of targets; the peer waits some seconds for a change before it responds.
     *
     * @param position position in the store after which changes are reported
     * @param result receives the changes, or empty if the peer does not know them
     * @return whether a query was sent to a peer; if not, {@code result} is not called
     */
    boolean fetchTargetChanges(StorePosition position, Consumer<Optional<StoreReply.Changes>> result);

    /**
     * Asks the peer that reads the store if the first one cannot, in the same way as {@link #fetchTargetChanges}.
     *
     * @return whether a query was sent to a peer; if not, {@code result} is not called
     */
    boolean fetchTargetChangesFromSuccessor(StorePosition position, Consumer<Optional<StoreReply.Changes>> result);
}
