package org.fuchsialever.node.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.frontend.ConnectionGuard;
import org.fuchsialever.frontend.HttpFrontEnd;
import org.fuchsialever.frontend.ResponseWriter;
import org.fuchsialever.kernel.invariant.Invariant;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

/** Guards against a shutdown that never ends, and one that cuts calls without reporting it. */
class DrainDeadlineTest {

    @Test
    void reportsCallsThatAreStillInProgressAtTheDeadline() {
        List<Invariant> violated = new ArrayList<>();
        try (HttpFrontEnd frontEnd =
                new HttpFrontEnd(
                        "127.0.0.1",
                        0,
                        List.of(),
                        ConnectionGuard.none(),
                        new ResponseWriter(new SimpleMeterRegistry()))) {
            Drain drain =
                    new Drain(
                            frontEnd,
                            Mono::never,
                            Duration.ofMillis(1),
                            (invariant, detail) -> violated.add(invariant));

            drain.close();

            assertThat(drain.isStarted(), is(true));
        }
        assertThat(violated, contains(Invariant.SHUTDOWN_CUTS_NOTHING));
    }
}
