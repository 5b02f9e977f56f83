package org.amaranthlock.router.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.OptionalInt;
import org.amaranthlock.router.RouterFixture;
import org.junit.jupiter.api.Test;

class SettingsReaderTest {
    // Guards against values that are dropped or misread from a valid settings file.
    @Test
    void validSettingsAreReadCompletely() {
        RouterSettings settings = RouterFixture.settings();
        assertThat(settings.host().failureDomain().value()).isEqualTo("north-a");
        assertThat(settings.peer().seeds()).containsExactly(new RouterSettings.Seed("router-2", "127.0.0.1:7402"));
        assertThat(settings.operators()).containsKey("anna");
        assertThat(settings.log().json()).isTrue();
        // The start time is written in base 36.
        assertThat(settings.hostId(36).value()).isEqualTo("router-1-10");
    }

    // Guards against reporting only the first error, so that operators need one run per error.
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

    // Guards against unexpected exceptions for malformed TOML and for values in place of tables.
    @Test
    void malformedTomlAndWrongTypesAreReported() {
        SettingsException malformed =
                assertThrows(SettingsException.class, () -> SettingsReader.parse("bad.toml", "[host\nname = "));
        assertThat(malformed.problems().get(0).line()).isEqualTo(OptionalInt.of(1));
        SettingsException wrongTypes =
                assertThrows(SettingsException.class, () -> SettingsReader.parse("bad.toml", "host = 1\npeer = []"));
        assertThat(wrongTypes.problems().stream().map(SettingsProblem::key))
                .containsAtLeast("host", "host.name", "peer");
    }
}
