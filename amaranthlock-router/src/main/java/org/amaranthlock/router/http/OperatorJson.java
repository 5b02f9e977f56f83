package org.amaranthlock.router.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import org.amaranthlock.coordination.OperatorCommand.TargetStatus;
import org.amaranthlock.model.OutcomeRecord;
import org.amaranthlock.model.Target;
import org.amaranthlock.model.TargetId;
import org.amaranthlock.model.TimelineEvent;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationEntry;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationVersion;

/** Converts the objects that operators read to JSON. */
final class OperatorJson {
    private OperatorJson() {}

    static ObjectNode entry(ConfigurationEntry entry) {
        ObjectNode node = Json.createObject().put("kind", entry.kind()).put("name", entry.name());
        putVersion(node, entry.version());
        var history = node.putArray("history");
        entry.history().forEach(version -> putVersion(history.addObject(), version));
        return node;
    }

    static List<ObjectNode> entries(List<ConfigurationEntry> entries) {
        return entries.stream().map(OperatorJson::entry).toList();
    }

    static ObjectNode target(TargetStatus status) {
        Target target = status.target();
        ObjectNode node = Json.createObject()
                .put("id", target.id().value())
                .put("service", target.service().value())
                .put("address", target.address())
                .put("region", target.region().value())
                .put("failureDomain", target.failureDomain().value())
                .put("model", target.model())
                .put("version", target.version())
                .put("slots", target.slots())
                .put("available", status.available())
                .put("reason", status.reason())
                .put("inFlight", status.inFlight());
        var capabilities = node.putArray("capabilities");
        target.capabilities().stream()
                .map(capability -> capability.name().toLowerCase(Locale.ROOT))
                .sorted()
                .forEach(capabilities::add);
        return node;
    }

    static ObjectNode outcome(OutcomeRecord outcome) {
        ObjectNode node = Json.createObject()
                .put("requestId", outcome.request().value())
                .put("account", outcome.account().value())
                .put("service", outcome.service().value())
                .put("profile", outcome.profile())
                .put("ledgerKey", outcome.ledgerKey())
                .put("outcome", outcome.outcome().name())
                .put("fate", ProblemResponses.executionStatusText(outcome.executionStatus()))
                .put("code", outcome.code())
                .put("status", outcome.status())
                .put("router", outcome.router().value())
                .put("attempts", outcome.attempts())
                .put("tokensDelivered", outcome.tokensDelivered())
                .put("tokensRecomputed", outcome.tokensRecomputed())
                .put("startedAtMillis", outcome.startedAtMillis())
                .put("endedAtMillis", outcome.endedAtMillis());
        var targets = node.putArray("targets");
        outcome.targets().stream().map(TargetId::value).forEach(targets::add);
        return node;
    }

    static ObjectNode event(TimelineEvent event) {
        return Json.createObject()
                .put("hybridTime", event.hybridTime())
                .put("host", event.host().value())
                .put("kind", event.kind())
                .put("subject", event.subject())
                .put("text", event.text());
    }

    private static void putVersion(ObjectNode node, ConfigurationVersion version) {
        node.put("revision", version.revision());
        node.put("text", version.text().orElse(null));
        node.put("author", version.author());
        node.put("changeId", version.changeId());
        node.put("atMillis", version.atMillis());
    }
}
