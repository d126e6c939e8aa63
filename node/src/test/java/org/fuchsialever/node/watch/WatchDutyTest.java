package org.fuchsialever.node.watch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.decisions.config.CapacityKind;
import org.fuchsialever.decisions.config.Fencing;
import org.fuchsialever.decisions.config.UpstreamKind;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.config.UpstreamState;
import org.fuchsialever.decisions.dispatch.LoadReport;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.kernel.duty.ActionSink;
import org.fuchsialever.kernel.duty.DutyStepper;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.junit.jupiter.api.Test;

/** Guards against polls that pile up on an unresponsive upstream and wrong ages of reports. */
class WatchDutyTest {
    private static final long SECOND = 1_000_000_000L;

    private static WatchDuty.Target target(String name) {
        return new WatchDuty.Target(
                new UpstreamSpec(
                        new UpstreamId(name),
                        new PoolName("p"),
                        "127.0.0.1",
                        1,
                        new FailureDomain("a"),
                        CapacityKind.REGULAR,
                        4,
                        Fencing.ENFORCED,
                        UpstreamState.SERVING),
                UpstreamKind.ENGINE);
    }

    @Test
    void pollsEachUpstreamOnceASecondAndNeverTwiceAtATime() {
        List<String> polls = new ArrayList<>();
        DutyStepper stepper = new DutyStepper(new ManualTimeSource(0));
        List<ActionSink<WatchDuty.Event>> inbox = new ArrayList<>();
        inbox.add(
                stepper.add(
                        new WatchDuty(Duration.ofSeconds(1)),
                        poll -> {
                            polls.add(poll.spec().id().value());
                            if (poll.spec().id().value().equals("answers")) {
                                inbox.get(0)
                                        .emit(new WatchDuty.Event.PollEnded(poll.spec().id(), 0));
                            }
                        }));
        inbox.get(0)
                .emit(
                        new WatchDuty.Event.UpstreamsChanged(
                                List.of(target("answers"), target("silent"))));
        stepper.advance(5 * SECOND - 1);
        assertThat(polls.stream().filter("answers"::equals).count(), equalTo(5L));
        assertThat(polls.stream().filter("silent"::equals).count(), equalTo(1L));
    }

    @Test
    void theAgeOfAReportCountsFromTheTimeThatItStates() {
        String body =
                "{\"running\":3,\"waiting\":2,\"slots\":8,\"weight_version\":7,"
                        + "\"engine_start\":\"s\",\"leaving\":true,\"reported_at_millis\":1000}";
        LoadReport report =
                EngineReportParser.parseLoad(body.getBytes(StandardCharsets.UTF_8), 1_250);
        assertThat(report.ageNanos(), equalTo(250_000_000L));
        assertThat(report.version().number(), equalTo(7L));
        assertThat(report.leaving(), equalTo(true));
    }
}
