package org.amaranthlock.coordination.contention;

import java.util.Map;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.ServiceName;

/** Listener for requests that wait at this host or are rejected, for logs and metrics. */
public interface ContentionListener {
    /** Called when a request begins to wait. */
    void onQueued(ServiceName service, String requestId, WaitingRequest request, AdmissionVerdict.Wait verdict);

    /** Called when a waiting request is sent, or is removed because its client has disconnected. */
    void onLeft(ServiceName service, String requestId, WaitingRequest request, String cause, long waitedMillis);

    /** Called when a request is rejected, on arrival or after it has waited. */
    void onTurnedAway(ServiceName service, String requestId, WaitingRequest request, AdmissionVerdict.TurnAway verdict);

    /**
     * Called about once a second while requests wait, and once when none waits any more.
     *
     * @param queueLength number of requests that wait at this host
     * @param share this host's share of the engines' room, from 0 to 1
     * @param accountShares shares of the client accounts in the work that all hosts have recently started, from 0 to 1
     */
    void onShares(ServiceName service, int queueLength, double share, Map<AccountId, Double> accountShares);

    /** Returns a listener that does nothing. */
    static ContentionListener none() {
        return new ContentionListener() {
            @Override
            public void onQueued(
                    ServiceName service, String requestId, WaitingRequest request, AdmissionVerdict.Wait verdict) {}

            @Override
            public void onLeft(
                    ServiceName service, String requestId, WaitingRequest request, String cause, long waitedMillis) {}

            @Override
            public void onTurnedAway(
                    ServiceName service, String requestId, WaitingRequest request, AdmissionVerdict.TurnAway verdict) {}

            @Override
            public void onShares(
                    ServiceName service, int queueLength, double share, Map<AccountId, Double> accountShares) {}
        };
    }
}
