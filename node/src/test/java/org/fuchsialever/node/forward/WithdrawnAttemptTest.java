package org.fuchsialever.node.forward;

import static org.awaitility.Awaitility.await;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.fuchsialever.decisions.fleet.ChoiceBasis;
import org.fuchsialever.decisions.fleet.Fleet;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.forward.AttemptOutcome;
import org.fuchsialever.decisions.forward.CallTraits;
import org.fuchsialever.decisions.forward.ForwardAction;
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
import org.fuchsialever.node.batch.UpstreamProtocolStub;
import org.fuchsialever.node.trace.TraceLog;
import org.fuchsialever.services.exchange.ContentVerdict;
import org.fuchsialever.services.exchange.ExchangeClient;
import org.fuchsialever.services.exchange.ExchangeRequest;
import org.fuchsialever.services.exchange.ResponseMatch;
import org.fuchsialever.services.hosted.UpstreamResponseHead;
import org.junit.jupiter.api.Test;
import reactor.netty.resources.LoopResources;

/** Attempts whose upstream begins to leave between the choice and the sending of the request. */
class WithdrawnAttemptTest {
    private static final Duration PATIENCE = Duration.ofSeconds(30);
    private static final Duration TIME_LIMIT = Duration.ofSeconds(20);
    private static final int RING_CAPACITY = 16;
    private static final long NUMBER = 1;

    private final ServerSocket mServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final Inbox<ForwardEvent> mInbox = new Inbox<>(RING_CAPACITY, OverflowPolicy.REFUSE);

    WithdrawnAttemptTest() throws IOException {}

    /** Guards against requests at a leaving upstream that were chosen before the list changed. */
    @Test
    void sendsNothingOnceTheUpstreamHasLeftTheListWhileTheEventLoopWasBusy() throws Exception {
        LoopResources loops = LoopResources.create("withdrawn-test", 1, true);
        SimpleMeterRegistry meters = new SimpleMeterRegistry();
        PrintStream output =
                new PrintStream(new ByteArrayOutputStream(), false, StandardCharsets.UTF_8);
        try (mServer;
                ExchangeClient client = new ExchangeClient(loops, meters);
                TraceLog trace = new TraceLog(output, meters)) {
            ForwardRunner runner =
                    new ForwardRunner(
                            client,
                            mInbox,
                            new ManualTimeSource(0),
                            trace,
                            meters,
                            new ResponseMemory(1),
                            Queueing.AUTO,
                            new DomainTrace("z", trace, meters),
                            () -> 0);
            runner.submit(number -> call(), new IdleHandler());
            runner.emit(new ForwardAction.PublishServing(fleet(upstream()).serving(0)));
            CountDownLatch changed = new CountDownLatch(1);
            client.loop().execute(() -> awaitQuietly(changed));
            runner.emit(start());
            runner.emit(new ForwardAction.PublishServing(fleet().serving(0)));
            changed.countDown();
            assertThat(endOfAttempt(), is(AttemptOutcome.WITHDRAWN));
        } finally {
            loops.dispose();
        }
    }

    private AttemptOutcome endOfAttempt() {
        List<AttemptOutcome> outcomes = new CopyOnWriteArrayList<>();
        await().atMost(PATIENCE)
                .until(
                        () -> {
                            if (mInbox.poll() instanceof ForwardEvent.AttemptEnded ended) {
                                outcomes.add(ended.report().outcome());
                            }
                            return !outcomes.isEmpty();
                        });
        return outcomes.get(0);
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Fleet fleet(FleetUpstream... upstreams) {
        Fleet fleet = new Fleet(new SplittableRandom(1));
        fleet.update(List.of(upstreams));
        return fleet;
    }

    private FleetUpstream upstream() {
        return new FleetUpstream(
                "u", "s", "127.0.0.1", mServer.getLocalPort(), "z", 1, true, Map.of(), 1);
    }

    private ForwardAction.Start start() {
        return new ForwardAction.Start(
                call(),
                1,
                upstream(),
                ForwardAction.StartReason.FIRST,
                0,
                ChoiceBasis.LEAST_LOAD,
                0);
    }

    private static ForwardCall call() {
        return new ForwardCall(
                NUMBER,
                ForwardCallKind.LIVE,
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

    /** A handler whose call gets no answer that matters. */
    private static final class IdleHandler implements ForwardCallHandler {
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
            return new ExchangeRequest(
                    upstream.host(),
                    upstream.port(),
                    "GET",
                    "/",
                    new DefaultHttpHeaders().set("Host", "h"),
                    new byte[0],
                    "r",
                    head -> ResponseMatch.NAMED,
                    TIME_LIMIT,
                    TIME_LIMIT);
        }

        @Override
        public AttemptReader reader(int attempt) {
            return new AttemptReader(new UpstreamProtocolStub()) {
                @Override
                protected void handleHead(UpstreamResponseHead head, HttpHeaders headers) {}

                @Override
                protected ContentVerdict handleContent(byte[] bytes) {
                    return ContentVerdict.PROGRESS;
                }

                @Override
                protected AttemptOutcome finalOutcome(AttemptOutcome outcome) {
                    return outcome;
                }
            };
        }

        @Override
        public void deliver(int attempt) {}

        @Override
        public void refuse(ForwardRefusal reason, long retryAfterMillis) {}
    }
}
