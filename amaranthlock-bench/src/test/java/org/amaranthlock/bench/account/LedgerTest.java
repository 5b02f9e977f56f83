package org.amaranthlock.bench.account;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.amaranthlock.platform.PlayReport;
import org.amaranthlock.platform.PlayReportDecoder;
import org.junit.jupiter.api.Test;

class LedgerTest {
    private static final double TOLERANCE = 1e-9;

    private static final PlayReport REPORT = PlayReportDecoder.decode("""
            {"G": 0.5,
             "parts": [["whole day", 0.5, 0.8], ["nines", 0.5, 0.4]],
             "prices": [["machine-seconds", 400, 0.07]],
             "classes": [
               {"name": "draft", "n": 12, "not_owed": 2, "in_aim": 8, "late": 1, "worth": 0.8},
               {"name": "order", "n": 90, "not_owed": 0, "in_aim": 81, "late": 0, "worth": 0.9}],
             "windows": [{"name": "0", "n": 3, "not_owed": 1, "in_aim": 2, "late": 0, "worth": 1.0}],
             "unserved_by": [["500 from a server", 1, []], ["deadline", 2, []]]}
            """.getBytes(StandardCharsets.UTF_8));

    @Test
    void entriesAddUpToOneMinusTheWorth() {
        Ledger ledger = Ledger.of(REPORT, Map.of("draft", 50.0));
        assertThat(ledger.lost()).isWithin(TOLERANCE).of(0.5);
    }

    @Test
    void splitsWholeDayByWorthOfTheKinds() {
        Ledger ledger = Ledger.of(REPORT, Map.of("draft", 50.0));
        // 10 drafts of 50 missed a fifth, 90 orders of 1 a tenth: 100 to 9 of a loss of 0.1.
        assertThat(lost(ledger, "whole day: draft")).isWithin(TOLERANCE).of(0.1 * 100 / 109);
        assertThat(lost(ledger, "whole day: order")).isWithin(TOLERANCE).of(0.1 * 9 / 109);
    }

    @Test
    void setsApartRequestsThatFailOnEachTarget() {
        Ledger ledger = Ledger.of(REPORT, Map.of());
        // One of 100 requests unserved is two nines of three.
        assertThat(ledger.ceiling()).isWithin(TOLERANCE).of(1 - 0.5 / 3);
    }

    @Test
    void keepsWhatTheReportDoesNotExplainAsAnEntry() {
        assertThat(lost(Ledger.of(REPORT, Map.of()), "not explained by the report"))
                .isWithin(TOLERANCE)
                .of(0.5 - 0.1 - 0.3 - 0.07);
    }

    private static double lost(Ledger ledger, String cause) {
        List<Ledger.Entry> entries = ledger.entries().stream()
                .filter(entry -> entry.cause().equals(cause))
                .toList();
        return entries.getFirst().lost();
    }
}
