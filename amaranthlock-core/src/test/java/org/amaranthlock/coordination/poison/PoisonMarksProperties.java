package org.amaranthlock.coordination.poison;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.amaranthlock.coordination.poison.PoisonMarks.Mark;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

class PoisonMarksProperties {
    private static final int CAPACITY = 12;

    /** Guards against an index that misses a mark or still contains a removed one. */
    @Property(seed = "31", tries = 300)
    void indexFindsTheSameMarksAsAFullScan(@ForAll long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        PoisonMarks marks = new PoisonMarks(CAPACITY);
        for (int time = 0; time < 100; time++) {
            marks.getOrCreate("key-" + random.nextInt(20), random.nextInt(6), 0).lastCrashMillis = time;
            marks.trim();
            if (random.nextInt(5) == 0) {
                marks.remove(marks.find("key-" + random.nextInt(20), random.nextInt(6)));
            }
            if (random.nextInt(20) == 0) {
                marks.expire(time - random.nextInt(30));
            }
            String key = "key-" + random.nextInt(20);
            long fingerprint = random.nextInt(6);
            List<Mark> scanned = new ArrayList<>(marks.all());
            assertThat(scanned.size()).isAtMost(CAPACITY);
            scanned.removeIf(mark -> !mark.ledgerKey.equals(key) && mark.fingerprint != fingerprint);
            assertThat(marks.find(key, fingerprint)).containsExactlyElementsIn(scanned);
        }
    }
}
