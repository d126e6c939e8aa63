package org.fuchsialever.decisions.weights;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import org.fuchsialever.decisions.intent.Intent;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.model.WeightVersion;
import org.junit.jupiter.api.Test;

/** Guards against engines that stay on old weights and against the spread of a broken version. */
class WeightDutyTest {
    private final ModelFixture model = new ModelFixture(List.of());

    @Test
    void bringsAllEnginesToANewVersionAFewAtATime() {
        model.publish(2);
        model.runSeconds(15);
        assertThat(model.versions(), everyItem(equalTo(2L)));
        assertThat(model.received.size(), equalTo(6));
        assertThat(model.maxLoading, lessThanOrEqualTo(3));
    }

    @Test
    void failedLoadsOnTwoEnginesAreRetriedAfterADelay() {
        model.engine(1).failures = 1;
        model.engine(4).failures = 2;
        model.publish(2);
        model.runSeconds(30);
        assertThat(model.versions(), everyItem(equalTo(2L)));
        assertThat(model.failedLoads.size(), equalTo(3));
        assertThat(model.rolledBack, is(empty()));
    }

    @Test
    void anEngineThatRestartsWithOldWeightsIsOrderedAgain() {
        model.publish(2);
        model.runSeconds(15);
        model.engine(3).restart(1);
        model.runSeconds(5);
        assertThat(model.engine(3).version, equalTo(2L));
    }

    @Test
    void anAcceptedOrderThatIsNotReportedCountsAsFailed() {
        model.engine(2).ignoresOrders = true;
        model.publish(2);
        model.runSeconds(14);
        assertThat(model.failedLoads, contains(new UpstreamId("engine-2")));
        model.engine(2).ignoresOrders = false;
        model.runSeconds(10);
        assertThat(model.versions(), everyItem(equalTo(2L)));
    }

    @Test
    void aVersionThatFailsOnSeveralEnginesIsRolledBackToTheEarlierOne() {
        for (int i = 1; i < 6; i++) {
            model.engine(i).failures = 100;
        }
        model.publish(2);
        model.runSeconds(20);
        assertThat(model.rolledBack, contains(new WeightVersion(2)));
        for (int i = 0; i < 6; i++) {
            model.engine(i).failures = 0;
        }
        model.runSeconds(20);
        assertThat(model.versions(), everyItem(equalTo(1L)));
        model.publish(3);
        model.runSeconds(20);
        assertThat(model.versions(), everyItem(equalTo(3L)));
    }

    @Test
    void oneBrokenEngineDoesNotRollBackTheOthers() {
        model.engine(5).failures = 1_000;
        model.publish(2);
        model.runSeconds(60);
        assertThat(model.versions(), contains(2L, 2L, 2L, 2L, 2L, 1L));
        assertThat(model.rolledBack, is(empty()));
        assertThat(model.failedLoads.size(), lessThanOrEqualTo(6));
    }

    @Test
    void anEngineWithoutReportsIsNotOrdered() {
        model.engine(0).reports = false;
        model.runSeconds(6);
        model.publish(2);
        model.runSeconds(20);
        assertThat(model.versions(), contains(1L, 2L, 2L, 2L, 2L, 2L));
    }

    @Test
    void completesThePredecessorsOrderBeforeItOrdersAnotherVersion() {
        LoadCommand old = new LoadCommand(new UpstreamId("engine-1"), new WeightVersion(7), false);
        ModelFixture successor =
                new ModelFixture(List.of(new Intent<>("weights/chat/1-1", 1, old)));
        successor.publish(8);
        successor.runSeconds(40);
        List<Long> loaded =
                successor.received.stream()
                        .filter(command -> command.upstream().equals(old.upstream()))
                        .map(command -> command.version().number())
                        .toList();
        assertThat(loaded, contains(7L, 8L));
        assertThat(successor.versions(), everyItem(equalTo(8L)));
        assertThat(successor.received.size(), greaterThan(6));
    }
}
