package org.fuchsialever.node.claims;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fuchsialever.decisions.config.Access;
import org.fuchsialever.decisions.config.Priority;
import org.fuchsialever.decisions.config.Route;
import org.fuchsialever.decisions.config.RouteKind;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.frontend.Call;
import org.fuchsialever.frontend.CallResponse;
import org.fuchsialever.frontend.CallShape;
import org.fuchsialever.frontend.Caller;
import org.fuchsialever.frontend.PresentedSecret;
import org.fuchsialever.frontend.Refusal;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.fuchsialever.services.InstanceList;
import org.fuchsialever.services.JudgeService;
import org.fuchsialever.services.ObjectStore;
import org.fuchsialever.services.OrderedUpstream;
import org.fuchsialever.services.OrderingService;
import org.fuchsialever.services.Platform;
import org.fuchsialever.services.UpstreamOrder;
import org.fuchsialever.services.UsageReportService;
import org.fuchsialever.services.WeightStore;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/** Guards against a second execution of a call with an Idempotency-Key. */
class ClaimedCallsTest {
    private static final int ROW_BYTES = 16;

    private final TableServiceFake mTables = new TableServiceFake();
    private final Map<String, byte[]> mObjects = new HashMap<>();
    private final ManualTimeSource mTime = new ManualTimeSource(0);
    private int mExecutionCount;
    private Either<Refusal, CallResponse> mResult = response("booked");

    @Test
    void answersASecondCallOnAnotherInstanceWithTheStoredOutcome() {
        assertThat(call("body"), is("200 booked"));
        assertThat(call("body"), is("200 booked"));
        assertThat(mExecutionCount, is(1));
    }

    @Test
    void keepsALargerAnswerInTheObjectStore() {
        mResult = response("an answer that is too long for the row");

        assertThat(call("body"), is(call("body")));
        assertThat(mObjects.size(), is(1));
        assertThat(mExecutionCount, is(1));
    }

    @Test
    void doesNotRunACallAgainWhoseAnswerWasTooLargeToKeep() {
        mResult = response("x".repeat(200));
        call("body");

        assertThat(call("body"), is("answer-lost"));
        assertThat(mExecutionCount, is(1));
    }

    @Test
    void runsOnceWhenTheAnswerToTheClaimIsLost() {
        mTables.mResponsesToLose = 1;

        assertThat(call("body"), is("200 booked"));
        assertThat(call("body"), is("200 booked"));
        assertThat(mExecutionCount, is(1));
    }

    @Test
    void refusesAnotherBodyUnderTheSameKey() {
        call("body");

        assertThat(call("other"), is("claim-mismatch"));
        assertThat(mExecutionCount, is(1));
    }

    @Test
    void refusesAsNotRunWhenTheTableServiceIsNotReached() {
        mTables.mDown = true;

        assertThat(call("body"), is("claim-unavailable"));
        assertThat(mExecutionCount, is(0));
    }

    @Test
    void reportsACallInProgressUntilItsDeadlineAndAsUnknownAfterIt() {
        mResult = Either.right(new CallResponse(200, List.of(), Flux.<byte[]>never()));
        claimedCalls().call(call(bytes("body")), "key", port()).subscribe(Either::isRight);

        assertThat(call("body"), is("claim-in-progress"));
        mTime.advance(Duration.ofMinutes(1));
        assertThat(call("body"), is("answer-lost"));
        assertThat(mExecutionCount, is(1));
    }

    @Test
    void storesAnUnknownOutcomeWhenTheCallerLeavesBeforeTheAnswer() {
        claimedCalls()
                .call(
                        call(bytes("body")),
                        "key",
                        call -> {
                            mExecutionCount++;
                            return Mono.never();
                        })
                .subscribe(Either::isRight)
                .dispose();

        assertThat(call("body"), is("answer-lost"));
        assertThat(mExecutionCount, is(1));
    }

    @Test
    void givesTheClaimBackWhenTheCallWasNotRun() {
        mResult = Either.left(Refusal.of(RefusalReason.QUEUE_FULL));
        assertThat(call("body"), is("queue-full"));
        mResult = response("booked");

        assertThat(call("body"), is("200 booked"));
    }

    @Test
    void repeatsARefusalWhoseCallMayHaveRun() {
        mResult = Either.left(Refusal.of(RefusalReason.ANSWER_LOST));
        call("body");
        mResult = response("booked");

        assertThat(call("body"), is("answer-lost"));
        assertThat(mExecutionCount, is(1));
    }

    @Test
    void refusesAsNotRunWhenNoComponentCanClaim() {
        Either<Refusal, CallResponse> refused =
                new ClaimGate(port()).call(call(bytes("body"))).blockOptional().orElseThrow();

        assertThat(refused.getLeft().reason(), is(RefusalReason.CLAIM_UNAVAILABLE));
        assertThat(mExecutionCount, is(0));
    }

    /** Makes a call on a new instance, which shares only the platform with the earlier ones. */
    private String call(String body) {
        return claimedCalls()
                .call(call(bytes(body)), "key", port())
                .flatMap(ClaimedCallsTest::text)
                .blockOptional(Duration.ofSeconds(30))
                .orElseThrow();
    }

    private org.fuchsialever.frontend.CallPort port() {
        return call -> {
            mExecutionCount++;
            return Mono.just(mResult);
        };
    }

    private ClaimedCalls claimedCalls() {
        OutcomeStore.Limits limits =
                new OutcomeStore.Limits(ROW_BYTES, 100, Duration.ofSeconds(30));
        return new ClaimedCalls(
                platform(),
                new OutcomeStore(
                        platform(), limits, Schedulers.parallel(), new SimpleMeterRegistry()),
                limits.timeout(),
                mTime,
                Schedulers.parallel());
    }

    private Platform platform() {
        ObjectStore store =
                new ObjectStore() {
                    @Override
                    public Mono<Boolean> putIfAbsent(String name, byte[] content) {
                        return Mono.just(mObjects.putIfAbsent(name, content) == null);
                    }

                    @Override
                    public Mono<Option<byte[]>> read(String name) {
                        return Mono.just(Option.of(mObjects.get(name)));
                    }

                    @Override
                    public Mono<List<String>> list(String prefix) {
                        return Mono.just(List.copyOf(mObjects.keySet()));
                    }
                };
        OrderingService ordering =
                new OrderingService() {
                    @Override
                    public Mono<org.fuchsialever.services.UpstreamOrderResult> send(
                            UpstreamOrder order, java.util.function.BooleanSupplier holding) {
                        return Mono.empty();
                    }

                    @Override
                    public Mono<List<OrderedUpstream>> list() {
                        return Mono.empty();
                    }
                };
        UsageReportService usage = (window, report, holding) -> Mono.empty();
        InstanceList instances = Mono::empty;
        WeightStore weights = model -> Mono.empty();
        JudgeService judge = (sample, prompt, text) -> Mono.empty();
        return new Platform(mTables, store, ordering, usage, instances, weights, judge);
    }

    private static Mono<String> text(Either<Refusal, CallResponse> result) {
        if (result.isLeft()) {
            return Mono.just(result.getLeft().reason().code());
        }
        CallResponse response = result.get();
        return response.body()
                .map(bytes -> new String(bytes, StandardCharsets.UTF_8))
                .collectList()
                .map(parts -> response.status() + " " + String.join("", parts));
    }

    private static Either<Refusal, CallResponse> response(String body) {
        return Either.right(new CallResponse(200, List.of(), Flux.just(bytes(body))));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Call call(byte[] body) {
        Route route =
                new Route(
                        new RouteName("book"),
                        "/book",
                        RouteKind.PLAIN,
                        new PoolName("desk"),
                        Access.OPEN,
                        Set.of(),
                        false,
                        Priority.LIVE,
                        Duration.ofMinutes(1),
                        1_000);
        return new Call(
                new RequestId("r-1"),
                route,
                Caller.anonymous(),
                "POST",
                "/book",
                List.of(),
                body,
                CallShape.PLAIN,
                Option.some("key"),
                PresentedSecret.none());
    }
}
