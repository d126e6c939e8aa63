package org.fuchsialever.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.fuchsialever.platform.SentAnswer;
import org.fuchsialever.platform.UpstreamStandIn;
import org.fuchsialever.platform.UpstreamStandIn.AcceptedOrder;
import org.fuchsialever.platform.UpstreamStandIn.ReceivedCall;
import org.junit.jupiter.api.Test;

/** Breaks each promise on purpose, so that a soak that passes says something. */
class PromiseTest {
    private static final String UNSAFE = "unsafe-1";
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private static final JsonNode ERRORED =
            Trainer.json("{\"results\":[{\"id\":\"x\",\"state\":\"errored\"}]}");
    private static final long TEXT_NANOS = SECOND;
    private static final String TEXT = UpstreamStandIn.text("x");

    private final SoakRecord mRecord = new SoakRecord();
    private final Map<String, List<SentAnswer>> mSent = new HashMap<>();

    @Test
    void findsNothingInAGenuineCall() {
        call(UNSAFE, 200, "stamp-" + UNSAFE, "body");
        sent(UNSAFE, 200, 0).ended("body");
        assertThat(findings(Map.of(UNSAFE, 1)), is(empty()));
    }

    @Test
    void noticesTheAnswerToAnotherCall() {
        call(UNSAFE, 200, "stamp-safe-2", "body");
        sent("safe-2", 200, 0).ended("body");
        finds(Promise.ANSWERS_ARE_GENUINE, Map.of());
    }

    @Test
    void noticesABodyThatIsNotWholeOrHasAnotherStatus() {
        sent(UNSAFE, 200, 0).ended("body");
        call(UNSAFE, 200, "stamp-" + UNSAFE, "bod");
        call(UNSAFE, 500, "stamp-" + UNSAFE, "body");
        String promise = Promise.ANSWERS_ARE_GENUINE.name();
        assertThat(findings(Map.of()), contains(startsWith(promise), startsWith(promise)));
    }

    @Test
    void noticesAStreamThatLooksCompleteAlthoughItsUpstreamNeverEndedIt() {
        SentAnswer answer = sent("stream-1", 200, 0);
        events(answer, "stream-1", 1, 2, 1);
        call("stream-1", 200, "stamp-stream-1", answer.body());
        finds(Promise.ANSWERS_ARE_GENUINE, Map.of());
    }

    @Test
    void findsNothingInAStreamThatWentOnElsewhere() {
        SentAnswer first = sent("resumable-1", 200, 0);
        events(first, "resumable-1", 1, 2, 1);
        SentAnswer rest = sent("resumable-1", 200, 0);
        events(rest, "resumable-1", 3, UpstreamStandIn.EVENT_COUNT, 1);
        rest.ended();
        call("resumable-1", 200, "stamp-resumable-1", first.body() + rest.body());
        assertThat(findings(Map.of()), is(empty()));
    }

    @Test
    void findsNothingInAFailureOfAStreamThatAnUpstreamSent() {
        sent("resumable-1", 500, 0).ended("failure");
        call("resumable-1", 500, "stamp-resumable-1", "failure");
        assertThat(findings(Map.of()), is(empty()));
    }

    @Test
    void noticesAStreamThatLacksItsFirstEvent() {
        SentAnswer rest = sent("resumable-1", 200, 0);
        events(rest, "resumable-1", 2, UpstreamStandIn.EVENT_COUNT, 1);
        rest.ended();
        call("resumable-1", 200, "stamp-resumable-1", rest.body());
        finds(Promise.ANSWERS_ARE_GENUINE, Map.of());
    }

    @Test
    void noticesACallThatIsSentAgainAfterItsAnswer() {
        call(UNSAFE, 504, "", "");
        ReceivedCall late = new ReceivedCall(UNSAFE, Map.of("Tenant", "team"), "", 5 * SECOND);
        List<String> findings =
                Promise.checkAll(evidence(Map.of(), Map.of(), List.of(late), List.of(), List.of()));
        assertThat(findings, contains(startsWith(Promise.ANSWERED_CALLS_ARE_OVER.name())));
    }

    @Test
    void findsNothingInASubmissionThatIsListedWhole() {
        text(2, TEXT_NANOS + 1);
        list(TEXT, 2);
        assertThat(findings(Map.of("x", 1)), is(empty()));
    }

    @Test
    void noticesAnItemThatNoUpstreamMade() {
        sent("s-x", 200, TEXT_NANOS + 1).ended("body");
        list(TEXT, 2);
        findsItem("an event 1 that no upstream sent");
    }

    @Test
    void noticesATextWithoutItsFirstEvent() {
        text(2, TEXT_NANOS + 1);
        list(TEXT.substring(TEXT.indexOf('\n') + 1), 2);
        findsItem("not whole");
    }

    @Test
    void noticesAScoreThatWasGivenBeforeTheTextWasMade() {
        text(2, TEXT_NANOS - 1);
        list(TEXT, 2);
        findsItem("a score that was not given to this text");
    }

    @Test
    void noticesVersionsThatAreNotThoseOfTheEvents() {
        text(3, TEXT_NANOS + 1);
        list(TEXT, 2);
        findsItem("other versions than [3]");
    }

    @Test
    void noticesATextThatIsTooOldForItsSubmission() {
        text(1, TEXT_NANOS + 1);
        list(TEXT, 1);
        findsItem("a text older than version 2");
    }

    @Test
    void noticesAnItemThatIsGivenUpWithoutAReason() {
        sent("x", 500, 0).ended("failure");
        sent("x", 500, 0).ended("failure");
        mRecord.submission(submission(true));
        mRecord.results("n1", "b", 0, ERRORED);
        findsItem("an error without a reason");
    }

    @Test
    void findsNothingInAnItemThatIsGivenUpAfterItsLastAttempt() {
        for (int attempt = 0; attempt < 3; attempt++) {
            sent("x", 500, 0).ended("failure");
        }
        mRecord.submission(submission(true));
        mRecord.results("n1", "b", 0, ERRORED);
        assertThat(findings(Map.of()), is(empty()));
    }

    @Test
    void noticesTheBodyOfAnotherItem() {
        mRecord.itemBody(submission(true), "x", 200, "other");
        assertThat(findings(Map.of()), contains(startsWith("RESULTS_STAY")));
    }

    private void findsItem(String fault) {
        assertThat(findings(Map.of()), contains(containsString(fault)));
    }

    @Test
    void noticesAnUnsafeCallThatRanTwice() {
        call(UNSAFE, 504, "", "");
        finds(Promise.UNSAFE_CALLS_RUN_ONCE, Map.of(UNSAFE, 2));
    }

    @Test
    void noticesARefusalOfACallThatRan() {
        call(UNSAFE, 503, "", "");
        finds(Promise.REFUSED_CALLS_HAVE_NOT_RUN, Map.of(UNSAFE, 1));
    }

    @Test
    void noticesADeniedCall() {
        call(UNSAFE, 404, "", "");
        finds(Promise.PROPER_CALLS_ARE_NOT_DENIED, Map.of());
    }

    @Test
    void noticesASafeCallThatRanTooOften() {
        call("safe-1", 504, "", "");
        finds(Promise.ATTEMPTS_STAY_WITHIN_THE_ROUTE, Map.of("safe-1", 3));
    }

    @Test
    void noticesAKeyAndARequestThatNobodyAskedForAtAnUpstream() {
        call(UNSAFE, 504, "", "");
        List<ReceivedCall> calls =
                List.of(
                        seen(UNSAFE, Map.of("Tenant", "team", "Authorization", "Bearer k")),
                        seen(UNSAFE, Map.of("Tenant", "other")),
                        seen("forged", Map.of("Tenant", "team")));
        List<String> findings =
                Promise.checkAll(evidence(Map.of(), Map.of(), calls, List.of(), List.of()));
        String promise = Promise.UPSTREAMS_SEE_WHAT_WAS_ASKED.name();
        assertThat(
                findings, contains(startsWith(promise), startsWith(promise), startsWith(promise)));
    }

    @Test
    void noticesAnItemOfARefusedSubmissionThatRan() {
        mRecord.submission(submission(false));
        finds(Promise.REFUSED_SUBMISSIONS_DO_NOT_RUN, Map.of("x", 1));
    }

    @Test
    void noticesAnAcceptedSubmissionWithoutItsResults() {
        mRecord.submission(submission(true));
        finds(Promise.ACCEPTED_SUBMISSIONS_ARE_LISTED_WHOLE, Map.of());
    }

    @Test
    void noticesAPositionThatChanges() {
        mRecord.results("n1", "b", 0, page("first"));
        mRecord.results("n2", "b", 0, page("second"));
        assertThat(findings(Map.of()), contains(startsWith("RESULTS_STAY")));
    }

    @Test
    void noticesAProcessThatDoesNotEndInTime() {
        mRecord.ended("n1", 9 * SECOND, true);
        finds(Promise.PROCESSES_END_IN_TIME, Map.of());
    }

    @Test
    void noticesACallThatAStoppingInstanceCut() {
        call(UNSAFE, 0, "", "");
        mRecord.terminated("n1", SECOND / 2);
        finds(Promise.STOPPING_INSTANCES_ANSWER_WHAT_RUNS, Map.of(UNSAFE, 1));
    }

    @Test
    void excusesAStoppingInstanceThatWasDisturbed() {
        call(UNSAFE, 0, "", "");
        mRecord.terminated("n1", SECOND / 2);
        mRecord.disturbed(-SECOND, 0);
        assertThat(findings(Map.of(UNSAFE, 1)), is(empty()));
    }

    @Test
    void noticesTwoHoldersWithOneNumber() {
        List<AcceptedOrder> orders =
                List.of(new AcceptedOrder("n1", 4), new AcceptedOrder("n2", 4));
        List<String> findings =
                Promise.checkAll(evidence(Map.of(), Map.of(), List.of(), orders, List.of()));
        assertThat(findings, contains(startsWith(Promise.ORDERS_HAVE_ONE_HOLDER.name())));
    }

    @Test
    void noticesTwoReportsOfAWindowThatDiffer() {
        List<String> reports =
                List.of(
                        "{\"window\":7,\"counts\":{\"team\":1}}",
                        "{\"window\":7,\"counts\":{\"team\":2}}");
        List<String> findings =
                Promise.checkAll(evidence(Map.of(), Map.of(), List.of(), List.of(), reports));
        assertThat(findings, contains(startsWith(Promise.USAGE_IS_REPORTED_ONCE.name())));
    }

    @Test
    void noticesALateCallToAnUpstreamThatIsLeaving() {
        answer("safe-1", 0, "p1/1");
        answer("safe-2", SECOND, "");
        answer("safe-3", 3 * SECOND, "");
        String promise = Promise.LEAVING_UPSTREAMS_GET_NO_LATE_CALLS.name();
        assertThat(leavingFindings("safe-2"), is(empty()));
        assertThat(leavingFindings("safe-3"), contains(startsWith(promise)));
    }

    @Test
    void excusesALateCallOfAnInstanceThatWasKilledMeanwhile() {
        long now = System.nanoTime();
        answer("safe-1", now, "p1/1");
        mRecord.interrupted("n1");
        answer("safe-3", now + 3 * SECOND, "");
        assertThat(leavingFindings("safe-3"), is(empty()));
    }

    /** The process that got the notice is not the one that sent the call. */
    @Test
    void excusesALateCallOfAnInstanceThatRestartedAfterANoticeWhileItStopped() {
        mRecord.interrupted("n1");
        long now = System.nanoTime();
        answer("safe-1", now, "p1/1");
        mRecord.ended("n1", SECOND, true);
        answer("safe-3", now + 3 * SECOND, "");
        assertThat(leavingFindings("safe-3"), is(empty()));
    }

    @Test
    void noticesALateCallOfAnInstanceThatIsStillStopping() {
        mRecord.interrupted("n1");
        long now = System.nanoTime();
        answer("safe-1", now, "p1/1");
        answer("safe-3", now + 3 * SECOND, "");
        String promise = Promise.LEAVING_UPSTREAMS_GET_NO_LATE_CALLS.name();
        assertThat(leavingFindings("safe-3"), contains(startsWith(promise)));
    }

    private List<String> leavingFindings(String received) {
        Map<String, Set<String>> receivers = Map.of(received, Set.of("p1/1"));
        return Promise.checkAll(evidence(Map.of(), receivers, List.of(), List.of(), List.of()));
    }

    private void call(String id, int status, String stamp, String body) {
        mRecord.liveCall(
                new SoakRecord.LiveCall(
                        id, "n1", route(id), "", 0, SECOND, status, stamp, body, ""));
    }

    /** Records a whole answer that ended a second after its call was sent. */
    private void answer(String id, long sentNanos, String leavingUpstream) {
        sent(id, 200, sentNanos).ended("body of " + id);
        mRecord.liveCall(
                new SoakRecord.LiveCall(
                        id,
                        "n1",
                        route(id),
                        "",
                        sentNanos,
                        sentNanos + SECOND,
                        200,
                        "stamp-" + id,
                        "body of " + id,
                        leavingUpstream));
    }

    private static LiveRoute route(String id) {
        return Stream.of(LiveRoute.values())
                .filter(route -> route.carries(id))
                .findFirst()
                .orElseThrow();
    }

    private static SoakRecord.Submission submission(boolean accepted) {
        return new SoakRecord.Submission(
                "b", Map.of("x", "body"), 2, System.nanoTime(), accepted, !accepted);
    }

    /** Records what an upstream sent. */
    private SentAnswer sent(String id, int status, long arrivedNanos) {
        SentAnswer answer = new SentAnswer(id, status, "stamp-" + id, arrivedNanos);
        mSent.computeIfAbsent(id, request -> new ArrayList<>()).add(answer);
        return answer;
    }

    /** Records events of an item or stream as an upstream made them with a version. */
    private static void events(SentAnswer answer, String id, int first, int last, long version) {
        for (int number = first; number <= last; number++) {
            String data = id + "-" + number;
            String raw = "id: " + number + "\ndata: " + data + "\n\n";
            answer.event(new SentAnswer.Event(number, data, version, TEXT_NANOS, raw));
        }
    }

    /** Records a whole text of an item and its score. */
    private void text(long version, long scoredNanos) {
        SentAnswer text = sent("x", 200, 0);
        events(text, "x", 1, UpstreamStandIn.EVENT_COUNT, version);
        text.ended();
        sent("s-x", 200, scoredNanos).ended("body");
    }

    private void list(String text, long version) {
        mRecord.submission(submission(true));
        mRecord.results("n1", "b", 0, page(text.replace("\n", "\\n"), version));
    }

    private Evidence evidence(
            Map<String, Integer> runs,
            Map<String, Set<String>> receivers,
            List<ReceivedCall> calls,
            List<AcceptedOrder> orders,
            List<String> reports) {
        return new Evidence(mRecord, runs, receivers, calls, orders, mSent, reports);
    }

    private static ReceivedCall seen(String id, Map<String, String> headers) {
        return new ReceivedCall(id, headers, "", 0);
    }

    private static JsonNode page(String text) {
        return page(text, 2);
    }

    private static JsonNode page(String text, long version) {
        return Trainer.json(
                "{\"results\":[{\"id\":\"x\",\"state\":\"completed\",\"message\":\""
                        + text
                        + "\",\"versions\":["
                        + version
                        + "],\"score\":\"stamp-s-x\"}]}");
    }

    private void finds(Promise promise, Map<String, Integer> runs) {
        assertThat(findings(runs), contains(startsWith(promise.name())));
    }

    private List<String> findings(Map<String, Integer> runs) {
        return Promise.checkAll(evidence(runs, Map.of(), List.of(), List.of(), List.of()));
    }
}
