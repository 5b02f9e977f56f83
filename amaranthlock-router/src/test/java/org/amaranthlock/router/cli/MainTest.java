package org.amaranthlock.router.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.amaranthlock.coordination.Command;
import org.amaranthlock.coordination.Command.RecordTimelineEvent;
import org.amaranthlock.coordination.Event;
import org.amaranthlock.coordination.OperatorCommand.ConfigurationAccepted;
import org.amaranthlock.coordination.OperatorCommand.ConfigurationShown;
import org.amaranthlock.coordination.OperatorCommand.DrainStarted;
import org.amaranthlock.coordination.OperatorCommand.Failed;
import org.amaranthlock.coordination.OperatorEvent.Drain;
import org.amaranthlock.coordination.OperatorEvent.GetConfiguration;
import org.amaranthlock.coordination.OperatorEvent.PutConfiguration;
import org.amaranthlock.model.ErrorCode;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationEntry;
import org.amaranthlock.protocol.objectapi.ObjectApiValue.ConfigurationVersion;
import org.amaranthlock.router.RouterFixture;
import org.amaranthlock.router.RouterProcessFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

@Timeout(60)
class MainTest {
    private static final String ENTRIES = """
            [service.drafts]
            profile = "drafting"
            generation = true
            [profile.drafting]
            kind = "kept-alive"
            max-attempts = 3
            priority = 1
            deadline-ms = 60000
            """;

    @TempDir
    private Path directory;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    // Guards against exit codes that don't distinguish valid from invalid settings files.
    @Test
    void checkConfigReportsValidityByItsExitCode() throws Exception {
        assertThat(run("check-config", writeFile(RouterFixture.settingsText()))).isEqualTo(ExitCodes.OK);
        assertThat(run("check-config", writeFile("[host]\nname = 1\n"))).isEqualTo(ExitCodes.INVALID_INPUT);
        assertThat(err.toString()).contains(":2: host.name: ");
        assertThat(err.toString()).contains("platform.address: is missing");
        assertThat(run("check-config", directory.resolve("absent").toString())).isEqualTo(ExitCodes.INVALID_INPUT);
        assertThat(run("check-config")).isEqualTo(ExitCodes.USAGE);
        assertThat(run()).isEqualTo(ExitCodes.USAGE);
    }

    // Guards against calls without a key, and against reporting an unreachable router as an internal error.
    @Test
    void missingKeyAndUnreachableRouterHaveDistinctExitCodes() throws Exception {
        assertThat(run("targets", "--router", "127.0.0.1:1", "--operator-key", " "))
                .isEqualTo(ExitCodes.USAGE);
        assertThat(run("targets", "--router", "127.0.0.1:1", "--operator-key", "k"))
                .isEqualTo(ExitCodes.UNREACHABLE);
        try (RouterFixture router = new RouterFixture()) {
            assertThat(run("config", "get", "--router", router.address(), "--operator-key", "wrong"))
                    .isEqualTo(ExitCodes.FAILED);
            assertThat(err.toString()).contains("unauthenticated");
        }
    }

    // Guards against writes of unchanged entries, a wrong order of writes, and omitted entries.
    @Test
    void applyWritesOnlyTheEntriesThatDiffer() throws Exception {
        try (RouterFixture router = new RouterFixture()) {
            InMemoryConfiguration configuration = new InMemoryConfiguration();
            router.core.onEvent(configuration);
            assertThat(runOnRouter(router, "config", "apply", writeFile(ENTRIES)))
                    .isEqualTo(ExitCodes.OK);
            assertThat(configuration.writes)
                    .containsExactly("profile/drafting@0", "service/drafts@0")
                    .inOrder();
            assertThat(runOnRouter(router, "config", "apply", writeFile(ENTRIES)))
                    .isEqualTo(ExitCodes.OK);
            assertThat(configuration.writes).hasSize(2);
            String changed = ENTRIES.replace("max-attempts = 3", "max-attempts = 4");
            assertThat(runOnRouter(router, "config", "diff", writeFile(changed)))
                    .isEqualTo(ExitCodes.OK);
            assertThat(out.toString()).contains("change profile/drafting");
            assertThat(runOnRouter(router, "config", "apply", writeFile(changed)))
                    .isEqualTo(ExitCodes.OK);
            assertThat(configuration.writes).contains("profile/drafting@1");
            assertThat(runOnRouter(router, "config", "get", "profile", "drafting"))
                    .isEqualTo(ExitCodes.OK);
            assertThat(out.toString()).contains("# profile/drafting revision 3 by anna");
        }
    }

    // Guards against silently overwriting another operator's change.
    @Test
    void versionConflictHasItsOwnExitCode() throws Exception {
        try (RouterFixture router = new RouterFixture()) {
            router.core.onEvent(new InMemoryConfiguration());
            runOnRouter(router, "config", "apply", writeFile(ENTRIES));
            int exitCode = runOnRouter(
                    router, "config", "put", "profile", "drafting", writeFile("priority = 1"), "--revision", "9");
            assertThat(exitCode).isEqualTo(ExitCodes.CONFLICT);
            assertThat(err.toString()).contains("The current revision is 1 by anna");
        }
    }

    // Guards against a timeline that lists an effect on one router before its cause on another.
    @Test
    void timelineMergesTheEventsOfAllRoutersByTime() throws Exception {
        try (RouterFixture first = new RouterFixture();
                RouterFixture second = new RouterFixture()) {
            for (int i = 1; i <= 4; i++) {
                RouterFixture router = i % 2 == 1 ? first : second;
                String text = "step-" + i;
                router.core.onEvent(event -> event instanceof Drain drain
                        ? List.of(new RecordTimelineEvent("test", "subject", text), new DrainStarted(drain.call(), 0))
                        : List.of());
                assertThat(runOnRouter(router, "drain")).isEqualTo(ExitCodes.OK);
            }
            out.getBuffer().setLength(0);
            assertThat(runOnRouter(first, "timeline", "--router", second.address()))
                    .isEqualTo(ExitCodes.OK);
            assertThat(out.toString()).containsMatch("(?s)step-1\n.*step-2\n.*step-3\n.*step-4\n");
        }
    }

    // Guards against applying an invalid file partially.
    @Test
    void invalidFileIsRejectedBeforeAnyWrite() throws Exception {
        try (RouterFixture router = new RouterFixture()) {
            InMemoryConfiguration configuration = new InMemoryConfiguration();
            router.core.onEvent(configuration);
            assertThat(runOnRouter(router, "config", "apply", writeFile(ENTRIES + "[ledger.x]\na = 1\n")))
                    .isEqualTo(ExitCodes.INVALID_INPUT);
            assertThat(err.toString()).contains("unknown kind 'ledger'");
            assertThat(configuration.writes).isEmpty();
        }
    }

    private int runOnRouter(RouterFixture router, String... command) {
        List<String> arguments = new ArrayList<>(List.of(command));
        arguments.addAll(List.of("--router", router.address(), "--operator-key", RouterFixture.OPERATOR_KEY));
        return run(arguments.toArray(String[]::new));
    }

    private int run(String... arguments) {
        CommandLine commandLine = Main.commandLine(RouterProcessFactory::standard);
        commandLine.setOut(new PrintWriter(out, true));
        commandLine.setErr(new PrintWriter(err, true));
        return commandLine.execute(arguments);
    }

    private String writeFile(String text) throws Exception {
        return Files.writeString(Files.createTempFile(directory, "file", ".toml"), text)
                .toString();
    }

    /** In-memory configuration with conditional writes. */
    private static final class InMemoryConfiguration implements Function<Event, List<Command>> {
        private final Map<String, ConfigurationEntry> entries = new LinkedHashMap<>();
        /** Accepted writes in order, as {@code <kind>/<name>@<expected revision>}. */
        private final List<String> writes = new ArrayList<>();

        private long revision;

        @Override
        public List<Command> apply(Event event) {
            return switch (event) {
                case GetConfiguration get ->
                    List.of(new ConfigurationShown(
                            get.call(),
                            entries.values().stream()
                                    .filter(entry -> get.name().isEmpty()
                                            || entry.objectKey().equals("config/" + get.kind() + "/" + get.name()))
                                    .toList()));
                case PutConfiguration put -> List.of(write(put));
                default -> List.of();
            };
        }

        private Command write(PutConfiguration put) {
            String key = put.kind() + "/" + put.name();
            long currentRevision = Optional.ofNullable(entries.get(key))
                    .map(ConfigurationEntry::revision)
                    .orElse(0L);
            if (currentRevision != put.expectedRevision()) {
                return new Failed(put.call(), ErrorCode.VERSION_CONFLICT, "Read the entry again.");
            }
            writes.add(key + "@" + put.expectedRevision());
            revision++;
            ConfigurationEntry entry = new ConfigurationEntry(
                    put.kind(),
                    put.name(),
                    new ConfigurationVersion(revision, put.text(), put.author(), put.changeId(), 0),
                    List.of());
            entries.put(key, entry);
            return new ConfigurationAccepted(put.call(), entry);
        }
    }
}
