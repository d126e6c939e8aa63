package org.fuchsialever.node.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.fuchsialever.decisions.config.Access;
import org.fuchsialever.decisions.config.CapacityKind;
import org.fuchsialever.decisions.config.Fencing;
import org.fuchsialever.decisions.config.Priority;
import org.fuchsialever.decisions.config.Route;
import org.fuchsialever.decisions.config.RouteKind;
import org.fuchsialever.decisions.config.UpstreamSpec;
import org.fuchsialever.decisions.config.UpstreamState;
import org.fuchsialever.decisions.dispatch.AttemptResult;
import org.fuchsialever.decisions.dispatch.DispatchAction;
import org.fuchsialever.decisions.dispatch.DispatchEvent;
import org.fuchsialever.decisions.dispatch.Outcome;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.frontend.Call;
import org.fuchsialever.frontend.CallResponse;
import org.fuchsialever.frontend.CallShape;
import org.fuchsialever.frontend.Caller;
import org.fuchsialever.frontend.PresentedSecret;
import org.fuchsialever.frontend.Refusal;
import org.fuchsialever.frontend.RefusedException;
import org.fuchsialever.kernel.duty.Inbox;
import org.fuchsialever.kernel.duty.OverflowPolicy;
import org.fuchsialever.kernel.invariant.Invariant;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.fuchsialever.node.upstream.UpstreamException;
import org.fuchsialever.node.upstream.UpstreamResponsePart;
import org.fuchsialever.node.upstream.UpstreamTimeouts;
import org.junit.jupiter.api.Test;
import org.reactivestreams.Subscription;
import reactor.core.publisher.BaseSubscriber;

/** Tests how parts and events pass between callers, the duty and upstreams. */
class CallDispatcherTest {
    private static final int MAX_CALLS = 50;
    private static final RequestId ID = new RequestId("r-1");
    private static final UpstreamSpec ENGINE =
            new UpstreamSpec(
                    new UpstreamId("engine-1"),
                    new PoolName("small"),
                    "127.0.0.1",
                    1,
                    new FailureDomain("fd-1"),
                    CapacityKind.REGULAR,
                    8,
                    Fencing.IGNORED,
                    UpstreamState.SERVING);

    private final ManualTimeSource mTime = new ManualTimeSource(0);
    private final ManualScheduler mTimers = new ManualScheduler(mTime);
    private final ManualUpstreams mUpstreams = new ManualUpstreams();
    private final SimpleMeterRegistry mMeters = new SimpleMeterRegistry();
    private final ExchangeMeters mExchangeMeters = new ExchangeMeters(mMeters);
    private final DispatchRing mRing = new DispatchRing(mExchangeMeters);
    private final Inbox<DispatchEvent> mInbox =
            new Inbox<>(DispatchRing.capacity(MAX_CALLS), OverflowPolicy.REFUSE);
    private final List<Invariant> mViolated = new ArrayList<>();
    private final List<Runnable> mWithdrawals = new ArrayList<>();
    private final CallDispatcher mDispatcher =
            new CallDispatcher(
                    MAX_CALLS,
                    (key, end) -> {
                        mWithdrawals.add(end);
                        return () -> {};
                    },
                    new ExchangeServices(
                            mUpstreams,
                            UpstreamTimeouts.DEFAULTS,
                            mTimers,
                            mTime,
                            mExchangeMeters,
                            (invariant, detail) -> mViolated.add(invariant),
                            mRing));
    private final Body mBody = new Body();

    CallDispatcherTest() {
        mRing.connect(mInbox);
    }

    @Test
    void endsAnAttemptOnASilentConnectionAfterAProbe() {
        stream();
        mBody.request(10);
        mUpstreams.token(0, 0);
        events();

        mTimers.advance(Duration.ofMillis(1_999));
        assertThat(mUpstreams.mProbes, is(0));
        mTimers.advance(Duration.ofMillis(1));

        assertThat(mUpstreams.mProbes, is(1));
        assertThat(mUpstreams.mCancelled, contains(ID));
        assertThat(mUpstreams.mStreams.get(0).isCancelled(), is(true));
        DispatchEvent.AttemptEnded ended = ends().get(0);
        assertThat(ended.report().result(), is(AttemptResult.SILENT));
        assertThat(ended.report().generatedTokens(), is(1));
        assertThat(ended.report().totalNanos(), is(Duration.ofSeconds(2).toNanos()));
    }

    @Test
    void endsAnAttemptWhoseFirstByteDoesNotArrive() {
        mDispatcher.call(call(ID)).subscribe(Either::isRight);
        mDispatcher.emit(new DispatchAction.StartAttempt(ID, 1, ENGINE, 0));

        mTimers.advance(UpstreamTimeouts.DEFAULTS.engineFirstByte());

        DispatchEvent.AttemptEnded ended = ends().get(0);
        assertThat(ended.report().result(), is(AttemptResult.SILENT));
        assertThat(ended.report().firstByteNanos(), is(-1L));
    }

    @Test
    void sendsNoSecondAttemptOfACallThatMayNotBeRepeated() {
        RequestId once = new RequestId("once");
        mDispatcher.call(call(once, false)).subscribe(Either::isRight);
        mDispatcher.emit(new DispatchAction.StartAttempt(once, 1, ENGINE, 0));
        mUpstreams.mStreams.get(0).error(lost());
        mDispatcher.emit(new DispatchAction.StartAttempt(once, 2, ENGINE, 0));

        assertThat(mUpstreams.mStreams, hasSize(1));
        assertThat(mViolated, contains(Invariant.AT_MOST_ONCE));
        assertThat(ends().get(1).report().result(), is(AttemptResult.CONNECTION_LOST));
    }

    @Test
    void noticesAFalseNotRun() {
        stream();
        mUpstreams.mStreams.get(0).error(lost());

        mDispatcher.emit(
                new DispatchAction.Refuse(ID, RefusalReason.RETRY_BUDGET_SPENT, Duration.ZERO));

        assertThat(mViolated, contains(Invariant.NOT_RUN_IS_TRUE));
        assertThat(mBody.mRefusals, contains(RefusalReason.ANSWER_LOST));
    }

    @Test
    void noticesAnEndWithoutACompletedAttempt() {
        stream();
        mBody.request(10);
        mUpstreams.token(0, 0);

        mDispatcher.emit(new DispatchAction.Finish(ID, Outcome.COMPLETED));

        assertThat(mViolated, contains(Invariant.ANSWER_WHOLE_AND_OWN));
    }

    @Test
    void keepsAnAttemptWhoseTokensArriveInTime() {
        stream();
        mBody.request(100);
        for (int i = 0; i < 20; i++) {
            mUpstreams.token(0, i);
            mTimers.advance(Duration.ofMillis(1_900));
        }

        assertThat(mUpstreams.mProbes, is(0));
    }

    @Test
    void doesNotMistakeASlowCallerForASilentUpstream() {
        stream();
        mBody.request(1);
        mUpstreams.token(0, 0);
        mUpstreams.token(0, 1);

        mTimers.advance(Duration.ofMinutes(5));

        assertThat(mUpstreams.mProbes, is(0));
        assertThat(mBody.mReceived, hasSize(1));
    }

    @Test
    void requestsNoMoreFromTheUpstreamThanTheCallerRequests() {
        stream();
        mBody.request(2);
        mUpstreams.token(0, 0);
        mUpstreams.token(0, 1);

        assertThat(mUpstreams.mStreams.get(0).requestedFromDownstream(), is(0L));
        mBody.request(1);
        assertThat(mUpstreams.mStreams.get(0).requestedFromDownstream(), is(1L));
    }

    @Test
    void dropsAndCountsPartsOfAnEarlierAttempt() {
        stream();
        mBody.request(10);
        mUpstreams.token(0, 0);
        mDispatcher.emit(new DispatchAction.StartAttempt(ID, 2, ENGINE, 0));
        mUpstreams.token(0, 1);
        mUpstreams.head(1);
        mUpstreams.token(1, 0);
        mUpstreams.token(1, 1);

        assertThat(mBody.mReceived, hasSize(2));
        assertThat(mMeters.counter("fuchsialever.late.parts").count(), is(1.0));
        assertThat(
                mMeters.counter("fuchsialever.tokens.dropped", "reason", "duplicate").count(),
                is(1.0));
        assertThat(
                new String(mUpstreams.mCalls.get(1).body(), StandardCharsets.UTF_8),
                containsString("\"resume_from\":1"));
    }

    @Test
    void reportsProgressAtMostFourTimesASecond() {
        stream();
        mBody.request(1_000);
        events();
        for (int i = 0; i < 100; i++) {
            mUpstreams.token(0, i);
            mTimers.advance(Duration.ofMillis(10));
        }

        assertThat(
                events().stream().filter(DispatchEvent.AttemptProgressed.class::isInstance).count(),
                is(4L));
    }

    @Test
    void losesNoEndWhenTheDutyStandsStillAndReportsFillTheRing() {
        List<RequestId> ids = new ArrayList<>();
        for (int i = 0; i < MAX_CALLS + 1; i++) {
            RequestId id = new RequestId("r-" + i);
            ids.add(id);
            mDispatcher.call(call(id)).subscribe(Either::isRight);
        }
        for (RequestId id : ids) {
            mDispatcher.emit(new DispatchAction.StartAttempt(id, 1, ENGINE, 0));
        }
        for (int i = 0; i < 10_000; i++) {
            mRing.report(new DispatchEvent.UpstreamProbed(ENGINE.id(), true));
        }
        for (int i = 0; i < MAX_CALLS; i++) {
            mUpstreams.mStreams.get(i).complete();
        }
        mWithdrawals.forEach(Runnable::run);

        List<DispatchEvent> events = events();
        assertThat(mUpstreams.mStreams, hasSize(MAX_CALLS));
        assertThat(
                events.stream().filter(DispatchEvent.AttemptEnded.class::isInstance).count(),
                is((long) MAX_CALLS));
        assertThat(
                events.stream().filter(DispatchEvent.RequestCancelled.class::isInstance).count(),
                is((long) MAX_CALLS));
        assertThat(mMeters.counter("fuchsialever.dispatch.events.lost").count(), is(0.0));
        assertThat(mInbox.overflowCount(), is(0L));
    }

    /** Guards against a call that the front end admits for a team that may not use the route. */
    @Test
    void noticesAndRefusesACallOfATeamThatItsRouteDoesNotList() {
        Either<Refusal, CallResponse> result =
                mDispatcher.call(call(ID, true, Access.KEYED)).blockOptional().orElseThrow();

        assertThat(result.getLeft().reason(), is(RefusalReason.TEAM_NOT_ALLOWED));
        assertThat(mViolated, contains(Invariant.REQUEST_RUNS_FOR_ITS_TEAM));
        assertThat(events(), hasSize(0));
    }

    @Test
    void endsARunningStreamWhoseKeyIsWithdrawn() {
        stream();
        mBody.request(10);
        mUpstreams.token(0, 0);
        events();

        mWithdrawals.get(0).run();
        mDispatcher.emit(new DispatchAction.CancelAttempt(ID, 1));
        mDispatcher.emit(new DispatchAction.Finish(ID, Outcome.UNKNOWN));

        assertThat(mBody.mRefusals, contains(RefusalReason.KEY_WITHDRAWN_DURING_CALL));
        assertThat(events(), contains(new DispatchEvent.RequestCancelled(ID)));
        assertThat(mUpstreams.mCancelled, contains(ID));
        assertThat(mDispatcher.callsInProgress(), is(0));
    }

    private void stream() {
        mDispatcher
                .call(call(ID))
                .map(Either::get)
                .flatMapMany(CallResponse::body)
                .subscribe(mBody);
        mDispatcher.emit(new DispatchAction.StartAttempt(ID, 1, ENGINE, 0));
        mUpstreams.head(0);
    }

    private List<DispatchEvent> events() {
        List<DispatchEvent> events = new ArrayList<>();
        DispatchEvent event = mInbox.poll();
        while (event != null) {
            events.add(event);
            event = mInbox.poll();
        }
        return events;
    }

    private List<DispatchEvent.AttemptEnded> ends() {
        return events().stream()
                .filter(DispatchEvent.AttemptEnded.class::isInstance)
                .map(DispatchEvent.AttemptEnded.class::cast)
                .toList();
    }

    private static UpstreamException lost() {
        return new UpstreamException(AttemptResult.CONNECTION_LOST, "lost");
    }

    private static Call call(RequestId id) {
        return call(id, true);
    }

    private static Call call(RequestId id, boolean repeatable) {
        return call(id, repeatable, Access.OPEN);
    }

    private static Call collected(RequestId id) {
        return call(id, true, Access.OPEN, false);
    }

    private static Call call(RequestId id, boolean repeatable, Access access) {
        return call(id, repeatable, access, true);
    }

    private static Call call(RequestId id, boolean repeatable, Access access, boolean streamed) {
        Route route =
                new Route(
                        new RouteName("chat"),
                        "/v1/completions",
                        RouteKind.LIVE,
                        new PoolName("small"),
                        access,
                        Set.of(),
                        repeatable,
                        Priority.LIVE,
                        Duration.ofMinutes(1),
                        1_000);
        return new Call(
                id,
                route,
                new Caller(new TeamName("team"), Option.some(new KeyId("key-1"))),
                "POST",
                "/v1/completions",
                List.of(),
                "{\"prompt\":\"p\"}".getBytes(StandardCharsets.UTF_8),
                new CallShape(streamed, 1, 8, 0),
                Option.none(),
                PresentedSecret.none());
    }

    /** A response body subscriber that requests only as many parts as the test tells it to. */
    private static final class Body extends BaseSubscriber<byte[]> {
        private final List<byte[]> mReceived = new ArrayList<>();
        private final List<RefusalReason> mRefusals = new ArrayList<>();

        @Override
        protected void hookOnSubscribe(Subscription subscription) {}

        @Override
        protected void hookOnNext(byte[] bytes) {
            mReceived.add(bytes);
        }

        @Override
        protected void hookOnError(Throwable failure) {
            if (failure instanceof RefusedException refused) {
                Refusal refusal = refused.refusal();
                mRefusals.add(refusal.reason());
            }
        }
    }

    /** Guards against a response that grows until memory runs out. */
    @Test
    void endsAnAttemptWhoseCollectedResponseHasNoEnd() {
        mDispatcher.call(collected(ID)).subscribe(Either::isRight);
        mDispatcher.emit(new DispatchAction.StartAttempt(ID, 1, ENGINE, 0));
        mUpstreams.head(0);
        byte[] part = new byte[1_024 * 1_024];
        for (int n = 0; n < 8 && !mUpstreams.mStreams.get(0).isCancelled(); n++) {
            mUpstreams.mStreams.get(0).next(new UpstreamResponsePart.Content(part));
        }
        assertThat(mUpstreams.mStreams.get(0).isCancelled(), is(true));
        assertThat(ends().get(0).report().result(), is(AttemptResult.MALFORMED_ANSWER));
    }

    @Test
    void forwardsAResponseThatIsNotAStream() {
        stream();
        mBody.request(2);
        mUpstreams.mStreams.get(0).next(new UpstreamResponsePart.Content(new byte[] {1}));

        assertThat(mBody.mReceived, hasSize(1));
    }
}
