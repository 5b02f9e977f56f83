package org.amaranthlock.router.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.DoubleSupplier;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.model.ExecutionStatus;
import org.amaranthlock.model.Outcome;
import org.amaranthlock.model.ServiceName;

/** Metrics of one router process; thread-safe. */
public final class RouterMetrics {
    /** Content type of {@link #render()}. */
    public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

    // The bounds include the latency objectives of the design page: 1.1 s to the first token and 6 s for a resume.
    private static final double[] FIRST_TOKEN_BUCKET_SECONDS = {
        0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 1.1, 1.5, 2, 4, 6, 10, 30
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests;
    private final Histogram firstToken;
    private final Counter tokens;
    private final Counter resumes;
    private final Counter refusals;
    private final Counter busySeconds;
    private final Counter timelineDrops;

    /** Creates the metrics in a new registry. */
    public RouterMetrics() {
        requests = counter("amaranthlock_requests", "Finished requests", "service", "outcome", "fate");
        tokens = counter("amaranthlock_tokens", "Tokens sent to callers", "service");
        resumes = counter("amaranthlock_resumes", "Streams continued, attached to, or returned for", "kind");
        refusals = counter("amaranthlock_refusals", "Refused and failed requests by code", "code");
        busySeconds = counter("amaranthlock_control_busy_seconds", "Time the control thread spent on events");
        timelineDrops = counter("amaranthlock_timeline_drops", "Events that left the full timeline");
        firstToken = Histogram.builder()
                .name("amaranthlock_first_token_seconds")
                .help("Time from arrival to the first token")
                .labelNames("service")
                .classicOnly()
                .classicUpperBounds(FIRST_TOKEN_BUCKET_SECONDS)
                .register(registry);
        JvmMetrics.builder().register(registry);
    }

    /** Registers a gauge whose value may be read from any thread. */
    public void registerGauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /** Counts a finished request by service, outcome and execution status. */
    public void countRequest(ServiceName service, Outcome outcome, ExecutionStatus executionStatus) {
        requests.labelValues(service.value(), outcome.name(), executionStatus.name())
                .inc();
    }

    /** Records the time to the first token, in seconds. */
    public void recordFirstToken(ServiceName service, double seconds) {
        firstToken.labelValues(service.value()).observe(seconds);
    }

    /** Counts tokens sent to a client. */
    public void countTokens(ServiceName service, int count) {
        tokens.labelValues(service.value()).inc(count);
    }

    /** Counts a resume: {@code continue}, {@code attach} or {@code caller-return}. */
    public void countResume(String kind) {
        resumes.labelValues(kind).inc();
    }

    /** Counts a rejected or failed request. */
    public void countRefusal(ErrorCode code) {
        refusals.labelValues(code.code()).inc();
    }

    /** Adds the time that the control thread spent on processing an event, in seconds. */
    public void addControlBusySeconds(double seconds) {
        busySeconds.inc(seconds);
    }

    /** Counts an event that was evicted from the timeline. */
    public void countTimelineDrop() {
        timelineDrops.inc();
    }

    /** Returns the metrics in Prometheus text format. */
    public byte[] render() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
    }
}
