package org.amaranthlock.router.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.amaranthlock.model.ErrorCode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Commands that inspect and drain running routers. */
final class OperatorCommands {
    private static final int HYBRID_TIME_COUNTER_BITS = 16;

    private OperatorCommands() {}

    /** Lists the targets that a router knows. */
    @Command(name = "targets", description = "Lists the targets that a router knows.")
    static final class TargetsCommand implements Runnable {
        @Spec
        private CommandSpec spec;

        @Mixin
        private AdminOptions options;

        @Override
        public void run() {
            PrintWriter out = spec.commandLine().getOut();
            for (JsonNode target : options.client().get("/admin/targets")) {
                String state = target.path("available").asBoolean()
                        ? "available"
                        : "unavailable (" + target.path("reason").asText() + ")";
                out.printf(
                        "%s service=%s address=%s domain=%s model=%s version=%s in-flight=%d/%d %s%n",
                        target.path("id").asText(),
                        target.path("service").asText(),
                        target.path("address").asText(),
                        target.path("failureDomain").asText(),
                        target.path("model").asText(),
                        target.path("version").asText(),
                        target.path("inFlight").asInt(),
                        target.path("slots").asInt(),
                        state);
            }
        }
    }

    /** Shows outcome records of requests. */
    @Command(name = "account", description = "Shows the outcome records of requests.")
    static final class AccountCommand {
        @Spec
        private CommandSpec spec;

        @Command(name = "show", description = "Shows the outcome record of a request.")
        int show(@Mixin AdminOptions options, @Parameters(paramLabel = "REQUEST-ID") String request) {
            JsonNode outcome = options.client()
                    .find("/admin/accounts/" + request)
                    .orElseThrow(() -> new CommandException(
                            ExitCodes.FAILED,
                            ErrorCode.UNKNOWN_REQUEST,
                            "There is no outcome record of " + request
                                    + "; if the request has just ended, try again in a few seconds."));
            spec.commandLine().getOut().println(outcome.toPrettyString());
            return ExitCodes.OK;
        }
    }

    /** Shows the events of several routers in causal order. */
    @Command(name = "timeline", description = "Shows the events of all given routers in causal order.")
    static final class TimelineCommand implements Runnable {
        @Spec
        private CommandSpec spec;

        @Mixin
        private AdminOptions options;

        @Override
        public void run() {
            List<JsonNode> events = new ArrayList<>();
            List<String> unreachable = new ArrayList<>();
            List<AdminClient> clients = options.clients();
            for (int i = 0; i < clients.size(); i++) {
                try {
                    clients.get(i).get("/admin/timeline").forEach(events::add);
                } catch (CommandException e) {
                    if (e.exitCode() != ExitCodes.UNREACHABLE) {
                        throw e;
                    }
                    unreachable.add(options.routers().get(i));
                }
            }
            // Hybrid timestamps order causes before their effects, also across routers.
            events.sort(Comparator.<JsonNode>comparingLong(
                            event -> event.path("hybridTime").asLong())
                    .thenComparing(event -> event.path("host").asText()));
            events.forEach(this::print);
            if (!unreachable.isEmpty()) {
                throw new CommandException(
                        ExitCodes.UNREACHABLE,
                        ErrorCode.INTERNAL,
                        "The events of these routers are missing because the routers are unreachable: "
                                + String.join(", ", unreachable));
            }
        }

        private void print(JsonNode event) {
            Instant time = Instant.ofEpochMilli(event.path("hybridTime").asLong() >> HYBRID_TIME_COUNTER_BITS);
            spec.commandLine()
                    .getOut()
                    .printf(
                            "%s %s %s %s %s%n",
                            time,
                            event.path("host").asText(),
                            event.path("kind").asText(),
                            event.path("subject").asText(),
                            event.path("text").asText());
        }
    }

    /** Starts the graceful shutdown of the given routers. */
    @Command(name = "drain", description = "Starts the graceful shutdown of the given routers.")
    static final class DrainCommand implements Runnable {
        @Spec
        private CommandSpec spec;

        @Mixin
        private AdminOptions options;

        @Override
        public void run() {
            List<AdminClient> clients = options.clients();
            for (int i = 0; i < clients.size(); i++) {
                JsonNode response = clients.get(i).post("/admin/drain");
                spec.commandLine()
                        .getOut()
                        .printf(
                                "%s is draining, %d open requests%n",
                                options.routers().get(i),
                                response.path("openRequests").asInt());
            }
        }
    }
}
