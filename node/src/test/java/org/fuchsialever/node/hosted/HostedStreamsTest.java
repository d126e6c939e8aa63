package org.fuchsialever.node.hosted;

import static org.fuchsialever.node.hosted.HostedFixture.KEY;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsialever.platform.UpstreamStandIn;
import org.fuchsialever.platform.UpstreamStandIn.Behaviour;
import org.junit.jupiter.api.Test;

class HostedStreamsTest {

    /** Guards against streams that only the end of their connection ends. */
    @Test
    void marksTheEndOfAWholeStream() {
        try (HostedFixture fixture = HostedFixture.running()) {
            RawCall response = fixture.stream("n1", "/stream/x", "r1");
            assertThat(response.status(), is(200));
            assertThat(response.isWhole(), is(true));
            assertThat(response.eventCount(), is(UpstreamStandIn.EVENT_COUNT));
        }
    }

    /** Guards against streams that look complete although their upstream crashed. */
    @Test
    void endsAStreamThatBrokeOffWithoutMarkingItsEnd() {
        try (HostedFixture fixture = HostedFixture.running()) {
            fixture.upstream("e1").setBehaviour(Behaviour.INTERRUPTS_STREAMS);
            RawCall response = fixture.stream("n1", "/stream/x", "r1");
            assertThat(response.status(), is(200));
            assertThat(response.eventCount(), is(2));
            assertThat(response.isChunked(), is(true));
            assertThat(response.isWhole(), is(false));
            assertThat(response.closed(), is(true));
        }
    }

    @Test
    void goesOnWithAResumableStreamAtAnotherUpstream() {
        try (HostedFixture fixture = HostedFixture.running()) {
            UpstreamStandIn first = fixture.upstream("e2", "engines");
            fixture.upstream("e1").setBehaviour(Behaviour.REFUSES_CALLS);
            fixture.eventually(() -> fixture.stream("n1", "/resumable/x", "r1").isWhole());
            // The upstream that was used last is chosen again among equals.
            first.setBehaviour(Behaviour.INTERRUPTS_STREAMS);
            fixture.upstream("e1").setBehaviour(Behaviour.HEALTHY);
            AtomicInteger calls = new AtomicInteger();
            fixture.eventually(
                    () -> {
                        String id = "later-" + calls.incrementAndGet();
                        RawCall response = fixture.stream("n1", "/resumable/x", id);
                        return response.isWhole()
                                && response.eventCount() == UpstreamStandIn.EVENT_COUNT
                                && first.executionCount(id) == 1;
                    });
        }
    }

    /** Guards against the events of one upstream under the signature of another. */
    @Test
    void signsAStreamAsTheUpstreamThatSentItsFirstEvent() {
        try (HostedFixture fixture = HostedFixture.running()) {
            UpstreamStandIn silent = fixture.upstream("e2", "engines");
            fixture.upstream("e1").setBehaviour(Behaviour.REFUSES_CALLS);
            fixture.upstream("e1").numberRuns();
            fixture.eventually(() -> fixture.stream("n1", "/resumable/x", "r1").isWhole());
            // The upstream that was used last is chosen again among equals.
            silent.setBehaviour(Behaviour.STALLS_BEFORE_EVENTS);
            fixture.upstream("e1").setBehaviour(Behaviour.HEALTHY);
            AtomicInteger calls = new AtomicInteger();
            fixture.eventually(
                    () -> {
                        String id = "later-" + calls.incrementAndGet();
                        RawCall response = fixture.stream("n1", "/resumable/x", id);
                        assertThat(response.isWhole(), is(true));
                        assertThat(response.eventCount(), is(UpstreamStandIn.EVENT_COUNT));
                        assertThat(response.text(), containsString("stamp-" + id + "-e1-"));
                        return silent.executionCount(id) == 1;
                    });
        }
    }

    /** Guards against streams that end as complete, or with the text of a failure in them. */
    @Test
    void breaksAStreamOffWhenTheNextUpstreamAnswersWithAFailure() {
        try (HostedFixture fixture = HostedFixture.running()) {
            fixture.upstream("e1").setBehaviour(Behaviour.FAILS_RESUMED_STREAMS);
            fixture.upstream("e2", "engines").setBehaviour(Behaviour.FAILS_RESUMED_STREAMS);
            fixture.eventually(
                    () -> {
                        RawCall response = fixture.stream("n1", "/resumable/x", "r1");
                        assertThat(response.isWhole(), is(false));
                        assertThat(
                                response.text(), not(containsString(UpstreamStandIn.FAILURE_TEXT)));
                        assertThat(response.eventCount(), is(2));
                        // The failure is only answered once both upstreams are known.
                        return fixture.upstream("e1").executionCount("r1") > 0
                                && fixture.upstream("e2").executionCount("r1") > 0;
                    });
        }
    }

    /** Guards against responses that are framed as whole though their head was cut. */
    @Test
    void passesNoSuccessOnWhenAnUpstreamClosesInTheMiddleOfTheHead() {
        try (HostedFixture fixture = HostedFixture.running()) {
            fixture.upstream("p1").setBehaviour(Behaviour.CUTS_HEADS);
            fixture.upstream("e1").setBehaviour(Behaviour.CUTS_HEADS);
            assertThat(fixture.call("n1", "POST", "/unsafe/x", "r1", KEY, "").status(), is(502));
            assertThat(fixture.stream("n1", "/stream/x", "r2").status(), is(502));
            assertThat(fixture.upstream("p1").executionCount("r1"), is(1));
            assertThat(fixture.upstream("e1").executionCount("r2"), is(1));
        }
    }
}
