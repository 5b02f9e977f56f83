package org.amaranthlock.bench.forwarding;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class DrawnScenariosTest {
    @Test
    void sameSeedDrawsSameScenarios() {
        assertThat(DrawnScenarios.draw(5, 7)).isEqualTo(DrawnScenarios.draw(5, 7));
        assertThat(DrawnScenarios.draw(5, 7)).isNotEqualTo(DrawnScenarios.draw(5, 8));
    }

    // Guards against an experiment whose result depends on the order in which its threads run.
    @Test
    void simulationOfDrawnScenarioIsDeterministic() {
        ForwardingScenario scenario = DrawnScenarios.draw(1, 3).getFirst();
        assertThat(onTimePercent(scenario)).isEqualTo(onTimePercent(scenario));
    }

    private static double onTimePercent(ForwardingScenario scenario) {
        ExperimentVariant complete = ExperimentVariant.COMPLETE;
        return new ForwardingSimulation(scenario, complete.placement(), complete.mechanisms(), 1)
                .run()
                .onTimePercent(700);
    }
}
