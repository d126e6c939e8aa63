package org.fuchsialever.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.platform.UpstreamStandIn;
import org.fuchsialever.platform.UpstreamStandIn.AcceptedOrder;
import org.fuchsialever.platform.UpstreamStandIn.ReceivedCall;
import org.junit.jupiter.api.Test;

/** Breaks each promise on purpose, so that a soak that passes says something. */
class PromiseTest {
    private static final String UNSAFE = "unsafe-1";
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final SoakRecord mRecord = new SoakRecord();

    @Test
    void findsNothingInAGenuineCall() {
        call(UNSAFE, 200, "stamp-" + UNSAFE, "body of " + UNSAFE);
        assertThat(findings(Map.of(UNSAFE, 1)), is(empty()));
    }

    @Test
    void findsNothingInASubmissionThatIsListedWhole() {
        mRecord.submission(new SoakRecord.Submission("b", Set.of("x"), true, false));
        mRecord.results("n1", "b", 0, page(UpstreamStandIn.text("x").replace("\n", "\\n")));
        assertThat(findings(Map.of("x", 1)), is(empty()));
    }

    @Test
    void noticesTheAnswerToAnotherCall() {
        call(UNSAFE, 200, "stamp-safe-2", "body of safe-2");
        finds(Promise.ANSWERS_ARE_GENUINE, Map.of());
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
        mRecord.submission(new SoakRecord.Submission("b", Set.of("x"), false, true));
        finds(Promise.REFUSED_SUBMISSIONS_DO_NOT_RUN, Map.of("x", 1));
    }

    @Test
    void noticesAnAcceptedSubmissionWithoutItsResults() {
        mRecord.submission(new SoakRecord.Submission("b", Set.of("x"), true, false));
        finds(Promise.ACCEPTED_SUBMISSIONS_ARE_LISTED_WHOLE, Map.of());
    }

    @Test
    void noticesATextThatIsNotWhole() {
        mRecord.submission(new SoakRecord.Submission("b", Set.of("x"), true, false));
        mRecord.results("n1", "b", 0, page("x-1\\nx-2"));
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

    private List<String> leavingFindings(String received) {
        Map<String, Set<String>> receivers = Map.of(received, Set.of("p1/1"));
        return Promise.checkAll(evidence(Map.of(), receivers, List.of(), List.of(), List.of()));
    }

    private void call(String id, int status, String stamp, String body) {
        boolean safe = id.startsWith("safe-");
        mRecord.liveCall(
                new SoakRecord.LiveCall(id, "n1", safe, 0, SECOND, status, stamp, body, ""));
    }

    /** Records a whole answer that ended a second after its call was sent. */
    private void answer(String id, long sentNanos, String leavingUpstream) {
        mRecord.liveCall(
                new SoakRecord.LiveCall(
                        id,
                        "n1",
                        true,
                        sentNanos,
                        sentNanos + SECOND,
                        200,
                        "stamp-" + id,
                        "body of " + id,
                        leavingUpstream));
    }

    private Evidence evidence(
            Map<String, Integer> runs,
            Map<String, Set<String>> receivers,
            List<ReceivedCall> calls,
            List<AcceptedOrder> orders,
            List<String> reports) {
        return new Evidence(mRecord, runs, receivers, calls, orders, reports);
    }

    private static ReceivedCall seen(String id, Map<String, String> headers) {
        return new ReceivedCall(id, headers, "", 0);
    }

    private static JsonNode page(String text) {
        return Trainer.json(
                "{\"results\":[{\"id\":\"x\",\"state\":\"completed\",\"message\":\""
                        + text
                        + "\",\"versions\":[1],\"score\":\"stamp-s-x\"}]}");
    }

    private void finds(Promise promise, Map<String, Integer> runs) {
        assertThat(findings(runs), contains(startsWith(promise.name())));
    }

    private List<String> findings(Map<String, Integer> runs) {
        return Promise.checkAll(evidence(runs, Map.of(), List.of(), List.of(), List.of()));
    }
}
