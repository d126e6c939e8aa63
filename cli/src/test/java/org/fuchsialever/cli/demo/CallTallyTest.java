package org.fuchsialever.cli.demo;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a demo that overlooks a withdrawn key, or bills a team for another one. */
class CallTallyTest {
    private static final DemoKey KEY = new DemoKey("alba", "k1", "fl_k1_secret");
    private static final CallKind.Verdict WHOLE = new CallKind.Verdict(true, 2, 16);

    private final CallTally mTally = new CallTally();

    @Test
    void countsAnswersToAWithdrawnKeyOnlyAfterFiveSeconds() {
        mTally.withdrawing(KEY, 0);
        mTally.completed(call(CallKind.STOCK, KEY), WHOLE, 1, TimeUnit.SECONDS.toNanos(5));
        assertThat(mTally.worksAfterWithdrawal(), is(0L));

        mTally.completed(call(CallKind.STOCK, KEY), WHOLE, 1, TimeUnit.SECONDS.toNanos(5) + 1);
        assertThat(mTally.worksAfterWithdrawal(), is(1L));
    }

    @Test
    void countsRefusalsOfAWithdrawnKeyByReasonButNotAsFailures() {
        mTally.refused(call(CallKind.WHOLE, KEY), "queue-full");
        mTally.withdrawing(KEY, 0);
        mTally.refused(call(CallKind.WHOLE, KEY), "key-withdrawn");

        assertThat(mTally.liveFailed(), is(1L));
        assertThat(figures().at("/refusals/key-withdrawn").asLong(), is(1L));
    }

    @Test
    void countsBadAnswersEvenOfAWithdrawnKey() {
        mTally.withdrawing(KEY, 0);
        mTally.bad(call(CallKind.STREAMED, KEY), "cut");

        assertThat(mTally.badAnswers(), hasSize(1));
    }

    @Test
    void addsUsageToTheTeamOfTheKey() {
        mTally.completed(call(CallKind.WHOLE, KEY), WHOLE, 1, 2);
        mTally.completed(call(CallKind.WHOLE, new DemoKey("cerna", "k2", "")), WHOLE, 1, 2);

        assertThat(figures().at("/usage/alba/answerTokens").asLong(), is(16L));
        assertThat(figures().at("/usage/alba/requests").asLong(), is(1L));
    }

    private ObjectNode figures() {
        ObjectNode body = new ObjectMapper().createObjectNode();
        mTally.addTo(body);
        return body;
    }

    private static DemoCall call(CallKind kind, DemoKey key) {
        return new DemoCall(kind, "n", key, "http://127.0.0.1:1", 0);
    }
}
