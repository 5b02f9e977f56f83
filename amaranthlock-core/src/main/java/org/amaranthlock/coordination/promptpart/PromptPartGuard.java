package org.amaranthlock.coordination.promptpart;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.amaranthlock.model.PromptPartId;

/**
 * Decides which requests may be sent although parts of their prompts may crash targets.
 *
 * <p>A crash makes the parts of the requests suspect that the target had not begun to answer. Requests with a suspect
 * part are sent one at a time over all hosts. An answer that begins clears the parts of its request; after three
 * consecutive crashes requests with the part are rejected, and one is tried again after minutes. Crashes of several
 * targets at the same moment count once, because none of their requests was sent after another's crash was known. Hosts
 * report crashes, answers and trials to one another. Not thread-safe.
 */
public final class PromptPartGuard {
    /** Interval at which a waiting request asks again, in milliseconds. */
    private static final long POLL_MILLIS = 30;

    private final String localHost;
    private final PromptPartListener listener;
    private final PartRecords records;
    private final PartTrials trials;

    /** Requests that targets execute without having begun to answer them. */
    private final Set<RequestParts> unanswered = new LinkedHashSet<>();

    /** Creates a guard that knows no suspect part. */
    public PromptPartGuard(String localHost, PromptPartListener listener) {
        this.localHost = Objects.requireNonNull(localHost, "local host");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.records = new PartRecords(listener);
        this.trials = new PartTrials(localHost);
    }

    /** Returns the view of a request with these parts, which do not include the last part of its prompt. */
    public RequestParts request(List<PromptPartId> parts) {
        return new RequestParts(this, parts);
    }

    /** Applies the report of another host. */
    public void updateRemote(PromptPartReport report, long nowMillis) {
        report.evidence().forEach(evidence -> records.merge(evidence, nowMillis));
        trials.updateRemote(report, nowMillis);
        notifyBlamed(nowMillis);
        notifyOfChanges();
    }

    /** Returns what the other hosts have to hear now; empty if nothing has changed. */
    public Optional<PromptPartReport> takeChanges(long nowMillis) {
        if (!records.hasChanges() && !trials.hasChanged()) {
            return Optional.empty();
        }
        trials.markReported();
        return Optional.of(report(records.takeChanges(nowMillis), nowMillis));
    }

    /** Returns all that a host has to know which may have missed reports; empty if there is nothing to know. */
    public Optional<PromptPartReport> fullReport(long nowMillis) {
        List<PartEvidence> evidence = records.all(nowMillis);
        return evidence.isEmpty() ? Optional.empty() : Optional.of(report(evidence, nowMillis));
    }

    /**
     * Returns the verdicts of this host since the last call, which have to outlive all hosts: parts whose requests are
     * rejected, and parts that were found sound after all, without any crash.
     */
    public List<PartEvidence> takeVerdicts(long nowMillis) {
        return records.takeVerdicts(nowMillis);
    }

    /** Applies verdicts of hosts that may have ended. */
    public void applyVerdicts(List<PartEvidence> verdicts, long nowMillis) {
        verdicts.forEach(evidence -> records.merge(evidence, nowMillis));
    }

    /** Has the trials of this host reported again, because the other hosts forget what they do not hear repeatedly. */
    public void repeatTrials() {
        trials.repeat();
        notifyOfChanges();
    }

    /** Returns the parts under which targets crashed, so that requests with them are sent one at a time or rejected. */
    public Set<PromptPartId> suspects(List<PromptPartId> parts, long nowMillis) {
        return records.suspects(Set.copyOf(parts), nowMillis);
    }

    TrialDecision decide(RequestParts request, long nowMillis) {
        TrialDecision decision = decideUnreported(request, nowMillis);
        notifyOfChanges();
        return decision;
    }

    Map<PromptPartId, Integer> crashes(Set<PromptPartId> parts, long nowMillis) {
        Map<PromptPartId, Integer> crashes = new HashMap<>();
        parts.forEach(part -> crashes.put(part, records.crashes(part, nowMillis)));
        return crashes;
    }

    void recordBegun(Set<PromptPartId> parts, long nowMillis) {
        records.recordBegun(parts, nowMillis);
        notifyOfChanges();
    }

    void recordCrash(Map<PromptPartId, Integer> crashesAtSend, long nowMillis) {
        records.recordCrash(crashesAtSend, nowMillis);
        notifyBlamed(nowMillis);
        notifyOfChanges();
    }

    boolean isBlamed(RequestParts request, long nowMillis) {
        return !trials.isTried(request) && records.isBlamed(request.parts(), nowMillis);
    }

    void recordSend(RequestParts request) {
        unanswered.add(request);
    }

    void recordEnd(RequestParts request) {
        unanswered.remove(request);
    }

    void release(RequestParts request) {
        trials.release(request);
        notifyOfChanges();
    }

    private void notifyBlamed(long nowMillis) {
        List.copyOf(unanswered).stream()
                .filter(request -> isBlamed(request, nowMillis))
                .forEach(request -> request.notifyBlamed(nowMillis));
    }

    private void notifyOfChanges() {
        if (records.hasChanges() || trials.hasChanged()) {
            listener.onReportDue();
        }
    }

    private TrialDecision decideUnreported(RequestParts request, long nowMillis) {
        long untilTrial = records.millisUntilTrial(request.parts(), nowMillis);
        if (untilTrial > 0) {
            trials.release(request);
            return new TrialDecision.Rejected(untilTrial);
        }
        Set<PromptPartId> suspects = records.suspects(request.parts(), nowMillis);
        if (suspects.isEmpty()) {
            trials.release(request);
            return new TrialDecision.Granted();
        }
        return trials.decide(request, suspects, POLL_MILLIS, nowMillis);
    }

    private PromptPartReport report(List<PartEvidence> evidence, long nowMillis) {
        return new PromptPartReport(localHost, evidence, trials.claimedParts(), trials.triedParts(nowMillis));
    }
}
