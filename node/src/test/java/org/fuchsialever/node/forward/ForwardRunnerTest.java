package org.fuchsialever.node.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.forward.CallTraits;
import org.fuchsialever.decisions.forward.ForwardCall;
import org.fuchsialever.decisions.forward.ForwardCallKind;
import org.fuchsialever.decisions.forward.ForwardEvent;
import org.fuchsialever.decisions.forward.ForwardRefusal;
import org.fuchsialever.decisions.manifest.ServiceShare;
import org.fuchsialever.decisions.queue.Queueing;
import org.fuchsialever.kernel.duty.Duty;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.duty.OverflowPolicy;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.fuchsialever.node.trace.TraceLog;
import org.fuchsialever.services.exchange.ExchangeClient;
import org.fuchsialever.services.exchange.ExchangeRequest;
import org.junit.jupiter.api.Test;
import reactor.netty.resources.LoopResources;

class ForwardRunnerTest {
    private static final int ITEMS = 5_000;
    private static final int RING_CAPACITY = 16_384;

    private final List<ForwardRefusal> mRefusals = new ArrayList<>();

    /** Guards against accepted items that are given up, and live calls refused, without a run. */
    @Test
    void takesALiveCallBesideTheItemsOfALargeStep() throws Exception {
        withRunner(
                runner -> {
                    for (int item = 0; item < ITEMS; item++) {
                        submit(runner, ForwardCallKind.ITEM);
                    }
                    submit(runner, ForwardCallKind.LIVE);
                    assertThat(mRefusals, is(List.of()));
                    assertThat(runner.inProgress(), is(ITEMS + 1));
                });
    }

    /** Guards against items that run twice at a time: a manifest may move one that is submitted. */
    @Test
    void startsNoCallThatIsWithdrawnWhileItIsSubmitted() throws Exception {
        withRunner(
                runner -> {
                    submit(
                            runner,
                            number -> {
                                runner.cancel(number);
                                return call(number, ForwardCallKind.ITEM);
                            });
                    assertThat(runner.inProgress(), is(0));
                });
    }

    private static void withRunner(Consumer<ForwardRunner> check) throws Exception {
        LoopResources loops = LoopResources.create("forward-test", 1, true);
        SimpleMeterRegistry meters = new SimpleMeterRegistry();
        PrintStream output =
                new PrintStream(new ByteArrayOutputStream(), false, StandardCharsets.UTF_8);
        try (ExchangeClient client = new ExchangeClient(loops, meters);
                TraceLog trace = new TraceLog(output, meters)) {
            Inbox<ForwardEvent> inbox = new Inbox<>(RING_CAPACITY, OverflowPolicy.REFUSE);
            check.accept(
                    new ForwardRunner(
                            client,
                            inbox,
                            new ManualTimeSource(0),
                            trace,
                            meters,
                            new ResponseMemory(1),
                            Queueing.AUTO,
                            new DomainTrace("z", trace, meters),
                            () -> 0));
        } finally {
            loops.dispose();
        }
    }

    private static ForwardCall call(long number, ForwardCallKind kind) {
        return new ForwardCall(
                number,
                kind,
                List.of(new ServiceShare("s", 1)),
                true,
                1,
                "",
                0,
                "",
                CallTraits.UNKNOWN,
                0,
                false,
                0,
                Duty.NO_TIMER,
                Duty.NO_TIMER);
    }

    private void submit(ForwardRunner runner, ForwardCallKind kind) {
        submit(runner, number -> call(number, kind));
    }

    private void submit(ForwardRunner runner, LongFunction<ForwardCall> callFactory) {
        runner.submit(
                callFactory,
                new ForwardCallHandler() {
                    @Override
                    public String requestId() {
                        return "r";
                    }

                    @Override
                    public String meteredTeam() {
                        return "";
                    }

                    @Override
                    public ExchangeRequest request(FleetUpstream upstream, long remainingMillis) {
                        throw new UnsupportedOperationException();
                    }

                    @Override
                    public AttemptReader reader(int attempt) {
                        throw new UnsupportedOperationException();
                    }

                    @Override
                    public void deliver(int attempt) {}

                    @Override
                    public void refuse(ForwardRefusal reason, long retryAfterMillis) {
                        mRefusals.add(reason);
                    }
                });
    }
}
