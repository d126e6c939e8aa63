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

/** Guards against a second run of a call with an Idempotency-Key. */
class ClaimedCallsTest {
    private static final int ROW_BYTES = 16;

    private final TableServiceFake tables = new TableServiceFake();
    private final Map<String, byte[]> objects = new HashMap<>();
    private final ManualTimeSource time = new ManualTimeSource(0);
    private int runs;
    private Either<Refusal, CallResponse> result = answer("booked");

    @Test
    void answersASecondCallOnAnotherInstanceWithTheStoredOutcome() {
        assertThat(call("body"), is("200 booked"));
        assertThat(call("body"), is("200 booked"));
        assertThat(runs, is(1));
    }

    @Test
    void keepsALargerAnswerInTheObjectStore() {
        result = answer("an answer that is too long for the row");

        assertThat(call("body"), is(call("body")));
        assertThat(objects.size(), is(1));
        assertThat(runs, is(1));
    }

    @Test
    void doesNotRunACallAgainWhoseAnswerWasTooLargeToKeep() {
        result = answer("x".repeat(200));
        call("body");

        assertThat(call("body"), is("answer-lost"));
        assertThat(runs, is(1));
    }

    @Test
    void runsOnceWhenTheAnswerToTheClaimIsLost() {
        tables.lostAnswers = 1;

        assertThat(call("body"), is("200 booked"));
        assertThat(call("body"), is("200 booked"));
        assertThat(runs, is(1));
    }

    @Test
    void refusesAnotherBodyUnderTheSameKey() {
        call("body");

        assertThat(call("other"), is("claim-mismatch"));
        assertThat(runs, is(1));
    }

    @Test
    void refusesAsNotRunWhenTheTableServiceIsNotReached() {
        tables.down = true;

        assertThat(call("body"), is("claim-unavailable"));
        assertThat(runs, is(0));
    }

    @Test
    void reportsACallInProgressUntilItsDeadlineAndAsUnknownAfterIt() {
        result = Either.right(new CallResponse(200, List.of(), Flux.<byte[]>never()));
        claimed().call(call(bytes("body")), "key", port()).subscribe(Either::isRight);

        assertThat(call("body"), is("claim-in-progress"));
        time.advance(Duration.ofMinutes(1));
        assertThat(call("body"), is("answer-lost"));
        assertThat(runs, is(1));
    }

    @Test
    void storesAnUnknownOutcomeWhenTheCallerLeavesBeforeTheAnswer() {
        claimed()
                .call(
                        call(bytes("body")),
                        "key",
                        call -> {
                            runs++;
                            return Mono.never();
                        })
                .subscribe(Either::isRight)
                .dispose();

        assertThat(call("body"), is("answer-lost"));
        assertThat(runs, is(1));
    }

    @Test
    void givesTheClaimBackWhenTheCallWasNotRun() {
        result = Either.left(Refusal.of(RefusalReason.QUEUE_FULL));
        assertThat(call("body"), is("queue-full"));
        result = answer("booked");

        assertThat(call("body"), is("200 booked"));
    }

    @Test
    void repeatsARefusalWhoseCallMayHaveRun() {
        result = Either.left(Refusal.of(RefusalReason.ANSWER_LOST));
        call("body");
        result = answer("booked");

        assertThat(call("body"), is("answer-lost"));
        assertThat(runs, is(1));
    }

    @Test
    void refusesAsNotRunWhenNoComponentCanClaim() {
        Either<Refusal, CallResponse> refused =
                new ClaimGate(port()).call(call(bytes("body"))).blockOptional().orElseThrow();

        assertThat(refused.getLeft().reason(), is(RefusalReason.CLAIM_UNAVAILABLE));
        assertThat(runs, is(0));
    }

    /** Each call is made by another instance, which shares nothing but the platform. */
    private String call(String body) {
        return claimed()
                .call(call(bytes(body)), "key", port())
                .flatMap(ClaimedCallsTest::text)
                .blockOptional(Duration.ofSeconds(30))
                .orElseThrow();
    }

    private org.fuchsialever.frontend.CallPort port() {
        return call -> {
            runs++;
            return Mono.just(result);
        };
    }

    private ClaimedCalls claimed() {
        OutcomeStore.Limits limits =
                new OutcomeStore.Limits(ROW_BYTES, 100, Duration.ofSeconds(30));
        return new ClaimedCalls(
                platform(),
                new OutcomeStore(
                        platform(), limits, Schedulers.parallel(), new SimpleMeterRegistry()),
                limits.timeout(),
                time,
                Schedulers.parallel());
    }

    private Platform platform() {
        ObjectStore store =
                new ObjectStore() {
                    @Override
                    public Mono<Boolean> putIfAbsent(String name, byte[] content) {
                        return Mono.just(objects.putIfAbsent(name, content) == null);
                    }

                    @Override
                    public Mono<Option<byte[]>> read(String name) {
                        return Mono.just(Option.of(objects.get(name)));
                    }

                    @Override
                    public Mono<List<String>> list(String prefix) {
                        return Mono.just(List.copyOf(objects.keySet()));
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
        return new Platform(tables, store, ordering, usage, instances, weights, judge);
    }

    private static Mono<String> text(Either<Refusal, CallResponse> result) {
        if (result.isLeft()) {
            return Mono.just(result.getLeft().reason().code());
        }
        CallResponse answer = result.get();
        return answer.body()
                .map(bytes -> new String(bytes, StandardCharsets.UTF_8))
                .collectList()
                .map(parts -> answer.status() + " " + String.join("", parts));
    }

    private static Either<Refusal, CallResponse> answer(String body) {
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
