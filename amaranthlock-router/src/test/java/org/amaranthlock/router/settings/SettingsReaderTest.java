package org.amaranthlock.router.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.OptionalInt;
import org.amaranthlock.router.RouterFixture;
import org.junit.jupiter.api.Test;

class SettingsReaderTest {
    // Guards against settings that are read differently from how they are written.
    @Test
    void validSettingsAreReadCompletely() {
        RouterSettings settings = RouterFixture.settings();
        assertThat(settings.host().failureDomain().value()).isEqualTo("north-a");
        assertThat(settings.peer().seeds()).containsExactly(new RouterSettings.Seed("router-2", "127.0.0.1:7402"));
        assertThat(settings.operators()).containsKey("anna");
        assertThat(settings.log().json()).isTrue();
        assertThat(settings.hostId(36).value()).isEqualTo("router-1-10");
    }

    // Guards against operators who have to correct one error per run.
    @Test
    void allErrorsAreReportedAtOnceWithLineAndKey() {
        String text = """
                [host]
                name = "router 1"
                region = "north"
                [http]
                address = "localhost:80"
                adress = "127.0.0.1:80"
                [peer]
                address = 7400
                seeds = ["router-2", "router-3@10.0.0.3:0"]
                cluster-key = "short"
                [admin.operators]
                anna = "not a hash"
                [log]
                format = "xml"
                level = "LOUD"
                [random]
                seed = "x"
                """;
        List<SettingsProblem> problems = assertThrows(
                        SettingsException.class, () -> SettingsReader.parse("bad.toml", text))
                .problems();
        assertThat(problems.stream().map(SettingsProblem::key))
                .containsExactly(
                        "host.name",
                        "host.failure-domain",
                        "http.address",
                        "http.adress",
                        "peer.address",
                        "peer.seeds",
                        "peer.seeds",
                        "peer.cluster-key",
                        "platform.address",
                        "admin.operators.anna",
                        "log.format",
                        "log.level",
                        "random.seed");
        SettingsProblem name = problems.stream()
                .filter(problem -> problem.key().equals("host.name"))
                .findFirst()
                .orElseThrow();
        assertThat(name.line()).isEqualTo(OptionalInt.of(2));
        assertThat(name.toString()).startsWith("bad.toml:2: host.name: ");
    }

    // Guards against an exception instead of a message for a file that is no TOML, or whose tables are values.
    @Test
    void malformedTomlAndWrongTypesAreReported() {
        SettingsException broken =
                assertThrows(SettingsException.class, () -> SettingsReader.parse("bad.toml", "[host\nname = "));
        assertThat(broken.problems().get(0).line()).isEqualTo(OptionalInt.of(1));
        SettingsException types =
                assertThrows(SettingsException.class, () -> SettingsReader.parse("bad.toml", "host = 1\npeer = []"));
        assertThat(types.problems().stream().map(SettingsProblem::key)).containsAtLeast("host", "host.name", "peer");
    }
}
