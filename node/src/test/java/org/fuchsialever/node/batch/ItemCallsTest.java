package org.fuchsialever.node.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vavr.control.Option;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import org.fuchsialever.decisions.batch.BatchItem;
import org.fuchsialever.decisions.batch.PartialText;
import org.fuchsialever.decisions.forward.CallTraits;
import org.fuchsialever.decisions.forward.ForwardCall;
import org.fuchsialever.decisions.forward.ForwardCallKind;
import org.fuchsialever.decisions.forward.ForwardRefusal;
import org.fuchsialever.decisions.manifest.ForwardRoute;
import org.fuchsialever.decisions.manifest.Manifest;
import org.fuchsialever.decisions.manifest.RequestKind;
import org.fuchsialever.decisions.manifest.RequestLimits;
import org.fuchsialever.decisions.manifest.ServiceShare;
import org.fuchsialever.kernel.duty.Duty;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.fuchsialever.node.forward.ForwardCallHandler;
import org.fuchsialever.node.forward.ForwardPort;
import org.fuchsialever.node.trace.TraceLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Running calls of items whose route changes. */
class ItemCallsTest {
    private static final ItemCalls.Key KEY = new ItemCalls.Key("b", 0);
    private static final ItemCalls.Routing ROUTING =
            manifest -> manifest.itemRoute("h", "/x", "/p/");

    private final TraceLog mTrace =
            new TraceLog(
                    new PrintStream(OutputStream.nullOutputStream()), new SimpleMeterRegistry());
    private final List<ForwardRefusal> mRefusals = new ArrayList<>();
    private final RecordingPort mPort = new RecordingPort();
    private Option<Manifest> mManifest = Option.some(manifest("first"));
    private final ItemCalls mCalls = new ItemCalls(() -> mManifest, mPort, mTrace);

    @AfterEach
    void close() throws InterruptedException {
        mTrace.close();
    }

    @Test
    void moveWithTheRoute() {
        start();
        changeTo(manifest("second"));
        assertThat(mPort.mServices, is(List.of("first", "second")));
        assertThat(mPort.mCancelled, is(List.of(1L)));
    }

    @Test
    void stayWhenTheRouteStays() {
        start();
        changeTo(manifest("first"));
        assertThat(mPort.mServices, is(List.of("first")));
    }

    /** Guards against an item that stays with its former service: no later manifest comes. */
    @Test
    void moveWithAManifestThatComesIntoForceWhileTheyStart() {
        mPort.mOnSubmit = () -> changeTo(manifest("second"));
        start();
        assertThat(mPort.mServices, is(List.of("first", "second")));
        assertThat(mPort.mCancelled, is(List.of(1L)));
    }

    @Test
    void endWithTheRoute() {
        start();
        changeTo(manifest());
        assertThat(mRefusals, is(List.of(ForwardRefusal.NO_UPSTREAM)));
    }

    private void changeTo(Manifest manifest) {
        mManifest = Option.some(manifest);
        mCalls.reroute(manifest);
    }

    private void start() {
        ForwardRoute route = mCalls.route(ROUTING).get();
        ForwardCall call =
                new ForwardCall(
                        0,
                        ForwardCallKind.ITEM,
                        route.shares(),
                        true,
                        1,
                        "m",
                        1,
                        "",
                        CallTraits.UNKNOWN,
                        0,
                        false,
                        0,
                        Duty.NO_TIMER,
                        Duty.NO_TIMER);
        mCalls.start(KEY, ROUTING, call, handler());
    }

    private ForwardCallHandler handler() {
        return new ItemGenerationHandler(
                new BatchItem("x", "g", "/x", Map.of(), new byte[0], 30, 0, Option.none()),
                "h",
                "t",
                1_000,
                new UpstreamProtocolStub(),
                PartialText.NONE,
                new ManualTimeSource(0),
                part -> {},
                reason -> {},
                (text, versions) -> {},
                mRefusals::add);
    }

    private static Manifest manifest(String... services) {
        return new Manifest(
                1,
                List.of(services).stream().map(ItemCallsTest::route).toList(),
                List.of(),
                List.of(),
                new RequestLimits(1, 1, 1, 1));
    }

    private static ForwardRoute route(String service) {
        return new ForwardRoute(
                "r",
                "h",
                "/p/",
                RequestKind.ROLLOUT,
                List.of(new ServiceShare(service, 1)),
                1,
                1,
                0,
                1,
                true,
                false,
                false,
                7_500,
                40_000);
    }

    /** Records what is submitted; the action runs before the first call is known. */
    private static final class RecordingPort implements ForwardPort {
        private final List<String> mServices = new ArrayList<>();
        private final List<Long> mCancelled = new ArrayList<>();
        private Runnable mOnSubmit = () -> {};

        @Override
        public long submit(LongFunction<ForwardCall> callFactory, ForwardCallHandler handler) {
            Runnable action = mOnSubmit;
            mOnSubmit = () -> {};
            action.run();
            ForwardCall call = callFactory.apply(mServices.size() + 1);
            mServices.add(call.shares().get(0).service());
            return call.number();
        }

        @Override
        public boolean cancel(long number) {
            return mCancelled.add(number);
        }

        @Override
        public boolean isQueuedFairly(String service) {
            return false;
        }

        @Override
        public void weighTeams(Map<String, Double> weights) {}

        @Override
        public int inProgress() {
            return 0;
        }
    }
}
