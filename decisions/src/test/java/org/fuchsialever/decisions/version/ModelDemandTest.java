package org.fuchsialever.decisions.version;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ModelDemandTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final List<String> MODELS = List.of("m1", "m2");

    private final ModelDemand mDemand = new ModelDemand();
    private int mLastId;

    @Test
    void knowsNothingBeforeTheFirstSubmission() {
        assertThat(mDemand.of(MODELS, SECOND), is(Map.of()));
    }

    @Test
    void comparesModelsByTheirFirstSubmissions() {
        submit("m1", 800, 0);
        submit("m2", 200, 1);
        assertThat(demand("m1", 2) / demand("m2", 2), is(closeTo(4, 0.001)));
    }

    @Test
    void measuresTheRateAtWhichFinishedWorkArrives() {
        steps("m1", 800, 4, 0, 10);
        steps("m2", 200, 2, 1, 18);
        assertThat(demand("m1", 37), is(closeTo(200, 1)));
        assertThat(demand("m2", 37), is(closeTo(100, 1)));
    }

    @Test
    void measuresARateOfTwoTrainersWhoSubmitAtTheSameMoment() {
        for (int step = 0; step < 20; step++) {
            submit("m1", 400, 4 * step);
            submit("m1", 400, 4 * step);
        }
        assertThat(demand("m1", 77), is(closeTo(200, 40)));
    }

    @Test
    void takesANewModelForAnAverageOneAtFirst() {
        steps("m1", 800, 4, 0, 3);
        assertThat(demand("m2", 9), is(closeTo(demand("m1", 9), 0.001)));
        assertThat(demand("m2", 30), is(0.0));
    }

    @Test
    void takesDemandFromAModelWhoseTrainerHasStopped() {
        steps("m1", 800, 4, 0, 10);
        double working = demand("m1", 40);
        assertThat(demand("m1", 43), is(closeTo(working, 1)));
        assertThat(demand("m1", 76), is(lessThan(working / 4)));
    }

    @Test
    void addsOpenWorkSoThatAModelThatLagsDoesNotLoseItsShare() {
        steps("m1", 800, 4, 0, 10);
        double finished = demand("m1", 39);
        for (int step = 10; step < 14; step++) {
            change(new SubmissionLoad("open" + step, "m1", 800, 8, 8, 4 * step * SECOND));
        }
        assertThat(demand("m1", 54), is(greaterThan(1.5 * finished)));
        mDemand.update(List.of(), List.of("open10", "open11", "open12", "open13"), 55 * SECOND);
        assertThat(demand("m1", 56), is(greaterThan(finished)));
    }

    @Test
    void countsItemsWhereNoTokensAreKnown() {
        for (int step = 0; step < 5; step++) {
            change(new SubmissionLoad("a" + step, "m1", 0, 60, 0, 4 * step * SECOND));
            change(new SubmissionLoad("b" + step, "m2", 0, 20, 0, 4 * step * SECOND));
        }
        assertThat(demand("m1", 17) / demand("m2", 17), is(closeTo(3, 0.001)));
    }

    @Test
    void learnsEarlierSubmissionsFromTheirAgeAfterARestart() {
        List<SubmissionLoad> mirrored =
                List.of(
                        new SubmissionLoad("c", "m1", 800, 8, 0, 8 * SECOND),
                        new SubmissionLoad("a", "m1", 800, 8, 0, 0),
                        new SubmissionLoad("b", "m1", 800, 8, 0, 4 * SECOND));
        mDemand.update(mirrored, List.of(), 9 * SECOND);
        assertThat(demand("m1", 9), is(closeTo(200, 1)));
    }

    private void steps(String model, long tokens, int interval, int start, int count) {
        for (int step = 0; step < count; step++) {
            submit(model, tokens, start + interval * step);
        }
    }

    private void submit(String model, long tokens, long second) {
        mLastId++;
        change(new SubmissionLoad("s" + mLastId, model, tokens, 8, 0, second * SECOND));
    }

    private void change(SubmissionLoad load) {
        mDemand.update(List.of(load), List.of(), load.submittedNanos());
    }

    private double demand(String model, long second) {
        return mDemand.of(MODELS, second * SECOND).getOrDefault(model, 0.0);
    }
}
