package org.amaranthlock.entry.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.amaranthlock.coordination.contention.AdmissionVerdict;
import org.amaranthlock.coordination.forwarding.AttemptPreview;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.coordination.forwarding.PlacementPreview;
import org.amaranthlock.coordination.forwarding.ReportAges;
import org.amaranthlock.coordination.forwarding.RequestPreview;
import org.amaranthlock.coordination.placement.CandidateCost;
import org.amaranthlock.coordination.placement.CostTerm;
import org.amaranthlock.coordination.placement.PlacementChoice;

/** Writes explanations as JSON. */
final class ExplanationJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ExplanationJson() {}

    static byte[] write(Explanation explanation) {
        ObjectNode root = MAPPER.createObjectNode().put("host", explanation.host());
        explanation.requestId().ifPresent(id -> root.put("requestId", id));
        addAdmission(root.putObject("admission"), explanation.admission());
        explanation.preview().ifPresent(preview -> addPreview(root, explanation, preview));
        return bytes(root);
    }

    static byte[] writeError(String code, String detail) {
        return bytes(MAPPER.createObjectNode().put("code", code).put("detail", detail));
    }

    private static void addAdmission(ObjectNode node, Explanation.Admission admission) {
        node.put("admitted", admission.rejection().isEmpty());
        admission
                .rejection()
                .ifPresent(rejection -> node.put("status", rejection.status()).put("reason", rejection.reason()));
        node.put("configurationVersion", admission.configurationVersion())
                .put("configurationAgeMs", admission.configurationAgeMillis())
                .put("route", admission.route())
                .put("account", admission.account());
        admission.priority().ifPresent(priority -> node.put("priority", priority));
    }

    private static void addPreview(ObjectNode root, Explanation explanation, RequestPreview preview) {
        root.put("service", preview.service().name().value())
                .put("passedOnToAnotherHost", preview.relayed() || explanation.passedOn());
        preview.progress().ifPresent(progress -> addProgress(root.putObject("progress"), progress));
        ArrayNode versions = root.putArray("versions");
        preview.versions()
                .forEach(version -> versions.addObject()
                        .put("version", version.version().value())
                        .put("targets", version.targets())
                        .put("open", version.open())
                        .put("preferredTargets", version.preferredTargets()));
        addWaiting(root.putObject("waiting"), explanation, preview);
        ArrayNode suspects = root.putArray("suspectPromptParts");
        preview.suspectParts().stream().limit(Listing.MAX_ITEMS).forEach(part -> suspects.add(part.value()));
        AttemptPreview attempt = preview.attempt();
        addPlacement(root, attempt.placement(), preview.reports());
        root.put("chosen", name(attempt.target().orElse(null)))
                .put("holdsPrompt", attempt.holder().isPresent())
                .put("tooLateForDeadline", attempt.tooLate())
                .put("backupWanted", attempt.backupPossible())
                .put(
                        "backup",
                        name(attempt.backup().map(PlacementChoice::target).orElse(null)))
                .put(
                        "withoutBest",
                        name(attempt.withoutBest()
                                .flatMap(PlacementPreview::target)
                                .orElse(null)));
    }

    private static void addProgress(ObjectNode node, RequestPreview.Progress progress) {
        node.put("ageMs", progress.ageMillis())
                .put("waitsInQueue", progress.waiting())
                .put("attempts", progress.attempts())
                .put("generating", progress.generating())
                .put(
                        "target",
                        name(progress.current().map(attempt -> attempt.target()).orElse(null)))
                .put(
                        "backup",
                        name(progress.current()
                                .flatMap(attempt -> attempt.backupTarget())
                                .orElse(null)));
    }

    private static void addWaiting(ObjectNode node, Explanation explanation, RequestPreview preview) {
        RequestPreview.QueueState queue = preview.queue();
        node.put("queue", queue.applies());
        if (queue.applies()) {
            node.put("queueLength", queue.length()).put("share", queue.share());
        } else {
            node.put("queueOffReason", explanation.queueOffReason());
        }
        preview.verdict().ifPresent(verdict -> {
            switch (verdict) {
                case AdmissionVerdict.Start _ -> node.put("verdict", "start");
                case AdmissionVerdict.Wait wait -> node.put("verdict", "wait").put("startsInMs", wait.startsInMillis());
                case AdmissionVerdict.TurnAway away ->
                    node.put("verdict", "turn-away")
                            .put("reason", away.reason())
                            .put("startsInMs", away.startsInMillis())
                            .put("retryAfterMs", away.retryAfterMillis());
            }
        });
    }

    private static void addPlacement(ObjectNode root, PlacementPreview placement, ReportAges reports) {
        root.putObject("reports")
                .put("hosts", reports.hosts())
                .put("newestMs", reports.newestMillis())
                .put("oldestMs", reports.oldestMillis());
        root.put("requestMs", placement.fleet().requestMillis())
                .put("unseenRequests", placement.fleet().unseenRequests());
        ArrayNode candidates = root.putArray("candidates");
        placement.choice().ifPresent(choice -> {
            root.put("candidateCount", choice.candidates().size()).put("contenders", choice.contenders());
            Listing.cheapest(choice)
                    .forEach(cost -> addCandidate(candidates.addObject(), cost, choice.unitMillis(), reports));
        });
        root.put("leftOutCount", placement.leftOut().size());
        ArrayNode leftOut = root.putArray("leftOut");
        placement.leftOut().stream()
                .limit(Listing.MAX_ITEMS)
                .forEach(left -> leftOut.addObject()
                        .put("target", name(left.target()))
                        .put("reason", left.reason().label()));
    }

    private static void addCandidate(ObjectNode node, CandidateCost cost, double unitMillis, ReportAges reports) {
        EntryTarget target = cost.load().target();
        node.put("target", name(target))
                .put("failureDomain", target.failureDomain().value())
                .put("version", target.version().value())
                .put("costMs", cost.total() * unitMillis);
        Long ageMillis = reports.oldestByTarget().get(target.id());
        if (ageMillis != null) {
            node.put("reportAgeMs", ageMillis);
        }
        ObjectNode terms = node.putObject("termsMs");
        for (CostTerm term : cost.terms()) {
            terms.put(term.name(), term.value() * unitMillis);
        }
    }

    private static String name(EntryTarget target) {
        return target == null ? null : target.id().value();
    }

    private static byte[] bytes(ObjectNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("an explanation cannot be written as JSON", e);
        }
    }
}
