package org.amaranthlock.router.cli;

import java.util.List;
import org.amaranthlock.model.ErrorCode;
import picocli.CommandLine.Option;

/** Options that all commands that call a router share. */
final class AdminOptions {
    static final String OPERATOR_KEY_VARIABLE = "AMARANTHLOCK_OPERATOR_KEY";

    @Option(
            names = "--router",
            paramLabel = "ADDRESS",
            required = true,
            description = "IP address and port of a router's HTTP server; repeat the option for more routers.")
    private List<String> routers;

    @Option(
            names = "--operator-key",
            paramLabel = "KEY",
            defaultValue = "${env:" + OPERATOR_KEY_VARIABLE + "}",
            description = "Operator key; default: environment variable " + OPERATOR_KEY_VARIABLE + ".")
    private String operatorKey;

    /** Returns a client that tries the routers in order. */
    AdminClient client() {
        return new AdminClient(routers, key());
    }

    /** Returns one client per router. */
    List<AdminClient> clients() {
        String key = key();
        return routers.stream()
                .map(router -> new AdminClient(List.of(router), key))
                .toList();
    }

    /** Returns the addresses of the routers. */
    List<String> routers() {
        return routers;
    }

    private String key() {
        if (operatorKey == null || operatorKey.isBlank()) {
            throw new CommandException(
                    ExitCodes.USAGE,
                    ErrorCode.UNAUTHENTICATED,
                    "No operator key is given; use --operator-key or set " + OPERATOR_KEY_VARIABLE + ".");
        }
        return operatorKey;
    }
}
