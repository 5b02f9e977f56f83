package org.amaranthlock.entry;

import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;
import org.amaranthlock.coordination.contention.AdmissionVerdict;
import org.amaranthlock.coordination.contention.ContentionListener;
import org.amaranthlock.coordination.contention.WaitingRequest;
import org.amaranthlock.entry.log.DecisionLog;
import org.amaranthlock.entry.metrics.EntryMetrics;
import org.amaranthlock.model.AccountId;
import org.amaranthlock.model.ServiceName;

/** Writes which requests wait at this host and which are turned away to the log, and counts them. */
final class ContentionLog implements ContentionListener {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Maximum number of accounts, those with the greatest shares, on a line of the log. */
    private static final int MAX_ACCOUNTS = 5;

    private final DecisionLog log;
    private final EntryMetrics metrics;
    private final Runnable onLoadChanged;

    /**
     * Creates a listener.
     *
     * @param onLoadChanged called when what waits here has changed, so that the other hosts are told
     */
    ContentionLog(DecisionLog log, EntryMetrics metrics, Runnable onLoadChanged) {
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.onLoadChanged = Objects.requireNonNull(onLoadChanged, "load listener");
    }

    @Override
    public void onQueued(ServiceName service, String requestId, WaitingRequest request, AdmissionVerdict.Wait verdict) {
        onLoadChanged.run();
        metrics.recordWaiting(
                service.value(), request.rank().toString(), request.account().value(), 1);
        log.write(
                "queued",
                "id",
                requestId,
                "service",
                service,
                "account",
                request.account(),
                "priority",
                request.rank(),
                "returned",
                request.returned(),
                "starts_in_ms",
                verdict.startsInMillis(),
                "prefill_ms",
                Math.round(request.prefillMillis()),
                "generation_ms",
                Math.round(request.generationMillis()));
    }

    @Override
    public void onLeft(ServiceName service, String requestId, WaitingRequest request, String cause, long waitedMillis) {
        onLoadChanged.run();
        metrics.recordWaiting(
                service.value(), request.rank().toString(), request.account().value(), -1);
        log.write(
                "left-queue",
                "id",
                requestId,
                "service",
                service,
                "account",
                request.account(),
                "priority",
                request.rank(),
                "cause",
                cause,
                "waited_ms",
                waitedMillis);
    }

    @Override
    public void onTurnedAway(
            ServiceName service, String requestId, WaitingRequest request, AdmissionVerdict.TurnAway verdict) {
        metrics.recordTurnedAway(
                service.value(),
                verdict.reason(),
                verdict.startsInMillis() / MILLIS_PER_SECOND,
                verdict.queueLength(),
                verdict.share(),
                verdict.accountShare());
        log.write(
                "turned-away",
                "id",
                requestId,
                "service",
                service,
                "account",
                request.account(),
                "priority",
                request.rank(),
                "reason",
                verdict.reason(),
                "starts_in_ms",
                verdict.startsInMillis(),
                "queue_length",
                verdict.queueLength(),
                "share",
                rounded(verdict.share()),
                "account_share",
                rounded(verdict.accountShare()),
                "prefill_ms",
                Math.round(request.prefillMillis()),
                "generation_ms",
                Math.round(request.generationMillis()),
                "retry_after_ms",
                verdict.retryAfterMillis());
    }

    @Override
    public void onShares(ServiceName service, int queueLength, double share, Map<AccountId, Double> accountShares) {
        metrics.updateShares(service.value(), share, accountShares);
        log.write(
                "room-shares",
                "service",
                service,
                "queue_length",
                queueLength,
                "share",
                rounded(share),
                "account_shares",
                greatest(accountShares));
    }

    private static String greatest(Map<AccountId, Double> shares) {
        return shares.entrySet().stream()
                .sorted(Map.Entry.<AccountId, Double>comparingByValue().reversed())
                .limit(MAX_ACCOUNTS)
                .map(share -> share.getKey() + ":" + rounded(share.getValue()))
                .collect(Collectors.joining(","));
    }

    private static String rounded(double share) {
        return String.format(Locale.ROOT, "%.3f", share);
    }
}
