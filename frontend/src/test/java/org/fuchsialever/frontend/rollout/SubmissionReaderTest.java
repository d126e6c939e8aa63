package org.fuchsialever.frontend.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.fuchsialever.decisions.config.Access;
import org.fuchsialever.decisions.config.Priority;
import org.fuchsialever.decisions.config.Route;
import org.fuchsialever.decisions.config.RouteKind;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.samples.Submission;
import org.fuchsialever.frontend.RefusedException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against invalid submissions that are accepted. */
class SubmissionReaderTest {
    private static final String GROUP =
            "{\"group\":\"g\",\"prompt\":\"p\",\"samples\":2,\"max_tokens\":9}";
    private static final String VALID =
            "{\"trainer\":\"alba\",\"step\":3,\"model\":\"small\",\"max_staleness\":1,"
                    + "\"deadline_ms\":5000,\"groups\":["
                    + GROUP
                    + "]}";
    private static final Route ROUTE =
            new Route(
                    new RouteName("rollouts"),
                    "/v1/rollouts",
                    RouteKind.ROLLOUT,
                    new PoolName("small"),
                    Access.KEYED,
                    Set.of(),
                    true,
                    Priority.values()[0],
                    Duration.ofSeconds(1),
                    1_000);

    private final SubmissionReader mReader = new SubmissionReader();

    @Test
    void readsACompleteSubmission() {
        Submission submission = read(VALID);

        assertThat(submission.trainer().value(), is("alba"));
        assertThat(submission.step(), is(3L));
        assertThat(submission.deadlineNanos(), is(5_000_000_000L));
        assertThat(submission.sampleCount(), is(2));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "alba | al/ba | trainer",
                "\"step\":3 | \"step\":-1 | step",
                "\"step\":3 | \"step\":1.5 | step",
                "\"max_staleness\":1 | \"max_staleness\":\"1\" | max_staleness",
                "\"deadline_ms\":5000 | \"deadline_ms\":0 | deadline_ms",
                "\"samples\":2 | \"samples\":0 | samples",
                "\"samples\":2 | \"samples\":99999999999999999999 | samples",
                "\"max_tokens\":9 | \"max_tokens\":null | max_tokens",
                "\"prompt\":\"p\" | \"prompt\":7 | prompt",
                "\"groups\" | \"others\" | groups"
            })
    void namesTheFieldThatIsWrong(String valid, String wrong, String field) {
        assertThat(VALID, containsString(valid));

        RefusedException refused =
                assertThrows(RefusedException.class, () -> read(VALID.replace(valid, wrong)));

        assertThat(refused.refusal().reason(), is(RefusalReason.MALFORMED_BODY));
        assertThat(refused.refusal().detail(), containsString("\"" + field + "\""));
    }

    @Test
    void refusesAGroupThatOccursTwice() {
        RefusedException refused =
                assertThrows(
                        RefusedException.class,
                        () -> read(VALID.replace(GROUP, GROUP + "," + GROUP)));

        assertThat(refused.refusal().detail(), containsString("occurs twice"));
    }

    @Test
    void refusesAQueryNumberBeyondItsLimit() {
        assertThat(SubmissionReader.query("wait_ms", List.of(), 7, 9), is(7L));
        assertThrows(
                RefusedException.class,
                () -> SubmissionReader.query("wait_ms", List.of("10"), 0, 9));
        assertThrows(
                RefusedException.class,
                () -> SubmissionReader.query("wait_ms", List.of("x"), 0, 9));
    }

    private Submission read(String json) {
        return mReader.submission(
                json.getBytes(StandardCharsets.UTF_8), ROUTE, new TeamName("team"));
    }
}
