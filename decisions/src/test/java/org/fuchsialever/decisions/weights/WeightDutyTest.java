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
    private final ModelFixture mModel = new ModelFixture(List.of());

    @Test
    void bringsAllEnginesToANewVersionAFewAtATime() {
        mModel.publish(2);
        mModel.runSeconds(15);
        assertThat(mModel.versions(), everyItem(equalTo(2L)));
        assertThat(mModel.mReceived.size(), equalTo(6));
        assertThat(mModel.mMaxLoading, lessThanOrEqualTo(3));
    }

    @Test
    void failedLoadsOnTwoEnginesAreRetriedAfterADelay() {
        mModel.engine(1).mFailures = 1;
        mModel.engine(4).mFailures = 2;
        mModel.publish(2);
        mModel.runSeconds(30);
        assertThat(mModel.versions(), everyItem(equalTo(2L)));
        assertThat(mModel.mFailedLoads.size(), equalTo(3));
        assertThat(mModel.mRolledBack, is(empty()));
    }

    @Test
    void anEngineThatRestartsWithOldWeightsIsOrderedAgain() {
        mModel.publish(2);
        mModel.runSeconds(15);
        mModel.engine(3).restart(1);
        mModel.runSeconds(5);
        assertThat(mModel.engine(3).mVersion, equalTo(2L));
    }

    @Test
    void anAcceptedOrderThatIsNotReportedCountsAsFailed() {
        mModel.engine(2).mIgnoresOrders = true;
        mModel.publish(2);
        mModel.runSeconds(14);
        assertThat(mModel.mFailedLoads, contains(new UpstreamId("engine-2")));
        mModel.engine(2).mIgnoresOrders = false;
        mModel.runSeconds(10);
        assertThat(mModel.versions(), everyItem(equalTo(2L)));
    }

    @Test
    void aVersionThatFailsOnSeveralEnginesIsRolledBackToTheEarlierOne() {
        for (int i = 1; i < 6; i++) {
            mModel.engine(i).mFailures = 100;
        }
        mModel.publish(2);
        mModel.runSeconds(20);
        assertThat(mModel.mRolledBack, contains(new WeightVersion(2)));
        for (int i = 0; i < 6; i++) {
            mModel.engine(i).mFailures = 0;
        }
        mModel.runSeconds(20);
        assertThat(mModel.versions(), everyItem(equalTo(1L)));
        mModel.publish(3);
        mModel.runSeconds(20);
        assertThat(mModel.versions(), everyItem(equalTo(3L)));
    }

    @Test
    void oneBrokenEngineDoesNotRollBackTheOthers() {
        mModel.engine(5).mFailures = 1_000;
        mModel.publish(2);
        mModel.runSeconds(60);
        assertThat(mModel.versions(), contains(2L, 2L, 2L, 2L, 2L, 1L));
        assertThat(mModel.mRolledBack, is(empty()));
        assertThat(mModel.mFailedLoads.size(), lessThanOrEqualTo(6));
    }

    @Test
    void anEngineWithoutReportsIsNotOrdered() {
        mModel.engine(0).mReports = false;
        mModel.runSeconds(6);
        mModel.publish(2);
        mModel.runSeconds(20);
        assertThat(mModel.versions(), contains(1L, 2L, 2L, 2L, 2L, 2L));
    }

    @Test
    void completesThePredecessorsOrderBeforeItOrdersAnotherVersion() {
        LoadCommand old = new LoadCommand(new UpstreamId("engine-1"), new WeightVersion(7), false);
        ModelFixture successor =
                new ModelFixture(List.of(new Intent<>("weights/chat/1-1", 1, old)));
        successor.publish(8);
        successor.runSeconds(40);
        List<Long> loaded =
                successor.mReceived.stream()
                        .filter(command -> command.upstream().equals(old.upstream()))
                        .map(command -> command.version().number())
                        .toList();
        assertThat(loaded, contains(7L, 8L));
        assertThat(successor.versions(), everyItem(equalTo(8L)));
        assertThat(successor.mReceived.size(), greaterThan(6));
    }
}
