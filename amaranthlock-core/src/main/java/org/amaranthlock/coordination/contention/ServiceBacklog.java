package org.amaranthlock.coordination.contention;

import java.util.List;
import java.util.Map;
import org.amaranthlock.model.AccountId;

/**
 * Backlog of a host for one service, with the work that it has started for the accounts that waited recently.
 *
 * @param waiting waiting work by priority and account
 * @param startedMillis prefill time started since the start of the host by account, in milliseconds
 */
public record ServiceBacklog(List<Backlog> waiting, Map<AccountId, Long> startedMillis) {
    /** Empty backlog, without any recently started work. */
    public static final ServiceBacklog EMPTY = new ServiceBacklog(List.of(), Map.of());

    public ServiceBacklog {
        waiting = List.copyOf(waiting);
        startedMillis = Map.copyOf(startedMillis);
    }

    /** Returns whether nothing waits and no recently started work is reported. */
    public boolean isEmpty() {
        return waiting.isEmpty() && startedMillis.isEmpty();
    }
}
