package org.amaranthlock.entry.explain;

import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;
import org.amaranthlock.coordination.contention.AdmissionVerdict;
import org.amaranthlock.coordination.forwarding.AttemptPreview;
import org.amaranthlock.coordination.forwarding.EntryTarget;
import org.amaranthlock.coordination.forwarding.PlacementPreview;
import org.amaranthlock.coordination.forwarding.ReportAges;
import org.amaranthlock.coordination.forwarding.RequestPreview;
import org.amaranthlock.coordination.placement.CandidateCost;
import org.amaranthlock.coordination.placement.FleetView;
import org.amaranthlock.coordination.placement.PlacementChoice;

/** Writes explanations as text for operators, one line for each decision in the order in which they are made. */
final class ExplanationText {
    /** Terms below this are left out, in milliseconds. */
    private static final double NEGLIGIBLE_MILLIS = 0.05;

    private final StringBuilder text = new StringBuilder();

    private ExplanationText() {}

    static String write(Explanation explanation) {
        ExplanationText writer = new ExplanationText();
        writer.append(explanation);
        return writer.text.toString();
    }

    private void append(Explanation explanation) {
        Explanation.Admission admission = explanation.admission();
        line(
                "explain",
                "%s at host %s",
                explanation.requestId().map(id -> "request " + id).orElse("a new request"),
                explanation.host());
        line(
                "admission",
                "%s; route %s, account %s; configuration version %d, confirmed %d ms ago",
                admission
                        .rejection()
                        .map(rejection -> "rejected with " + rejection.status() + " " + rejection.reason())
                        .orElse("admitted"),
                admission.route(),
                admission.account(),
                admission.configurationVersion(),
                admission.configurationAgeMillis());
        explanation.preview().ifPresent(preview -> appendPreview(explanation, preview));
    }

    private void appendPreview(Explanation explanation, RequestPreview preview) {
        preview.progress().ifPresent(progress -> appendProgress(explanation, progress));
        line(
                "service",
                "%s%s",
                preview.service().name(),
                explanation.admission().priority().isPresent()
                        ? ", priority " + explanation.admission().priority().getAsInt()
                        : "");
        if (preview.relayed()) {
            line("path", "none from this host to the targets; another host serves the request");
        }
        preview.versions()
                .forEach(version -> line(
                        "version",
                        "%s: targets %d, %s, preferred now %d",
                        version.version(),
                        version.targets(),
                        version.open() ? "open" : "closed by the roll-out",
                        version.preferredTargets()));
        appendWaiting(explanation, preview);
        if (!preview.suspectParts().isEmpty()) {
            line(
                    "prompt",
                    "%d of its parts are suspect of crashing targets; it is tried alone or rejected",
                    preview.suspectParts().size());
        }
        appendAttempt(preview);
    }

    private void appendProgress(Explanation explanation, RequestPreview.Progress progress) {
        String state = progress.waiting()
                ? "waits in the queue of this host"
                : progress.current()
                        .map(attempt -> "attempt " + attempt.number() + " is at "
                                + attempt.target().id()
                                + (progress.generating() ? ", generating" : ", no event yet")
                                + attempt.backupTarget()
                                        .map(backup -> ", backup at " + backup.id())
                                        .orElse(""))
                        .orElse("no attempt is running");
        line(
                "progress",
                "%s; arrived %d ms ago, %d attempts",
                explanation.passedOn() ? "passed on to another host; ask that one" : state,
                progress.ageMillis(),
                progress.attempts());
        line("", "where its next attempt would go now; its own load counts at its target:");
    }

    private void appendWaiting(Explanation explanation, RequestPreview preview) {
        String verdict = preview.verdict().map(ExplanationText::describe).orElse("was decided before");
        RequestPreview.QueueState queue = preview.queue();
        String state = queue.applies()
                ? String.format(Locale.ROOT, "%d wait here, share of this host %.2f", queue.length(), queue.share())
                : "no queue at this host: " + explanation.queueOffReason();
        line("waiting", "%s; %s", verdict, state);
    }

    private static String describe(AdmissionVerdict verdict) {
        return switch (verdict) {
            case AdmissionVerdict.Start _ -> "starts at once";
            case AdmissionVerdict.Wait wait -> "waits, starts in about " + wait.startsInMillis() + " ms";
            case AdmissionVerdict.TurnAway away ->
                "turned away (" + away.reason() + "), come back after " + away.retryAfterMillis() + " ms";
        };
    }

    private void appendAttempt(RequestPreview preview) {
        AttemptPreview attempt = preview.attempt();
        ReportAges reports = preview.reports();
        FleetView fleet = preview.fleet();
        line(
                "reports",
                reports.hosts() == 0
                        ? "none of other hosts; loads are those of this host"
                        : "of %d other hosts, %d to %d ms old",
                reports.hosts(),
                reports.newestMillis(),
                reports.oldestMillis());
        line(
                "estimate",
                "%.0f ms for the request at an idle target%s, %.1f requests of other hosts not yet reported",
                fleet.requestMillis(),
                fleet.requestMillis() == FleetView.UNKNOWN_MILLIS ? " (assumed, none measured)" : "",
                fleet.unseenRequests());
        attempt.placement()
                .choice()
                .ifPresentOrElse(choice -> appendCandidates(choice, reports), () -> line("candidates", "none"));
        appendLeftOut(attempt.placement());
        line(
                "chosen",
                "%s%s%s",
                name(attempt.target()),
                attempt.holder().isPresent() ? ", because it holds the prompt" : "",
                attempt.tooLate() ? ", but rejected: its prompt cannot be read before the deadline" : "");
        line(
                "backup",
                "%s",
                attempt.backupPossible()
                        ? name(attempt.backup().map(PlacementChoice::target))
                        : "none is made for this route");
        line("without it", "%s", name(attempt.withoutBest().flatMap(PlacementPreview::target)));
    }

    private void appendCandidates(PlacementChoice choice, ReportAges reports) {
        line(
                "candidates",
                "%d, of which %d could be chosen; cost as delay in ms:",
                choice.candidates().size(),
                choice.contenders());
        for (CandidateCost cost : Listing.cheapest(choice)) {
            EntryTarget target = cost.load().target();
            Long ageMillis = reports.oldestByTarget().get(target.id());
            String terms = cost.terms().stream()
                    .filter(term -> Math.abs(term.value() * choice.unitMillis()) >= NEGLIGIBLE_MILLIS)
                    .map(term -> String.format(Locale.ROOT, "%s %.1f", term.name(), term.value() * choice.unitMillis()))
                    .collect(Collectors.joining(", "));
            line(
                    "",
                    "%s %-16s domain %s %9.1f = %s%s",
                    cost.equals(choice.chosen()) ? ">" : " ",
                    target.id(),
                    target.failureDomain(),
                    cost.total() * choice.unitMillis(),
                    terms.isEmpty() ? "idle" : terms,
                    ageMillis == null ? "" : "; oldest report " + ageMillis + " ms");
        }
        more(choice.candidates().size());
    }

    private void appendLeftOut(PlacementPreview placement) {
        if (placement.leftOut().isEmpty()) {
            return;
        }
        line("left out", "%d:", placement.leftOut().size());
        placement.leftOut().stream()
                .limit(Listing.MAX_ITEMS)
                .forEach(left ->
                        line("", "  %-16s %s", left.target().id(), left.reason().label()));
        more(placement.leftOut().size());
    }

    private void more(int count) {
        if (count > Listing.MAX_ITEMS) {
            line("", "  and %d more", count - Listing.MAX_ITEMS);
        }
    }

    private void line(String label, String format, Object... arguments) {
        text.append(String.format(Locale.ROOT, "%-11s", label))
                .append(String.format(Locale.ROOT, format, arguments))
                .append('\n');
    }

    private static String name(Optional<EntryTarget> target) {
        return target.map(found -> found.id().value()).orElse("none");
    }
}
