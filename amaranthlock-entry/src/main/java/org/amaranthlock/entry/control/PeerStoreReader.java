package org.amaranthlock.entry.control;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.amaranthlock.platform.StoreReply;

/** Host of the same failure domain that reads the store for this one. */
public interface PeerStoreReader {
    /**
     * Asks whether a configuration is still the newest.
     *
     * @param ageMillis takes the time from when the confirming call was sent to the answer, milliseconds; empty if the
     *     neighbour cannot say so
     * @return whether there is a neighbour to ask; if not, {@code ageMillis} is not called
     */
    boolean confirmConfiguration(long revision, Consumer<OptionalLong> ageMillis);

    /**
     * Asks for changes of targets, and waits for some seconds until there are some.
     *
     * @param changes takes the changes; empty if the neighbour cannot say
     * @return whether there is a neighbour to ask; if not, {@code changes} is not called
     */
    boolean fetchTargetChanges(long revision, Consumer<Optional<StoreReply.Changes>> changes);
}
