package org.fuchsialever.decisions.claims;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vavr.control.Option;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.junit.jupiter.api.Test;

/** Guards against running a request twice and against wrong responses about its first run. */
class ClaimMachineTest {
    private static final Claim MINE = new Claim("digest", 1_000, Option.none());

    private final ClaimMachine mMachine = new ClaimMachine(MINE, "writer-1");

    /** Several instances claim one request while writes fail and responses are lost. */
    @Property(tries = 500, seed = "20261204")
    void letsAtMostOneOfSeveralInstancesRunARequest(@ForAll long seed) {
        Random random = new Random(seed);
        Option<ObservedClaim> row = Option.none();
        int runs = 0;
        for (int instance = 0; instance < 4; instance++) {
            String writer = "writer-" + instance;
            ClaimMachine subject = new ClaimMachine(MINE, writer);
            ClaimAction action = subject.start();
            while (action instanceof ClaimAction.WriteClaim
                    || action instanceof ClaimAction.ReadBack) {
                int fault = random.nextInt(4);
                if (action instanceof ClaimAction.ReadBack) {
                    action = fault == 0 ? subject.readFailed() : subject.readBack(row, 0);
                } else if (fault == 0) {
                    action = subject.writeFailed(false);
                } else {
                    Option<ObservedClaim> before = row;
                    boolean applied = before.isEmpty() && fault != 1;
                    if (applied) {
                        row = Option.some(new ObservedClaim(MINE, 7, writer));
                    }
                    if (fault == 3 || (fault == 1 && before.isEmpty())) {
                        action = subject.writeFailed(true);
                    } else {
                        action = applied ? subject.committed(7) : subject.conflict(before, 0);
                    }
                }
            }
            if (action instanceof ClaimAction.Run) {
                runs++;
                assertThat(row.get().writer(), is(writer));
            }
        }
        assertThat(runs, lessThanOrEqualTo(1));
    }

    @Test
    void runsWhenACommitWithALostResponseProvesToHaveSucceeded() {
        mMachine.start();
        assertThat(mMachine.writeFailed(true), instanceOf(ClaimAction.WriteClaim.class));

        ClaimAction action =
                mMachine.conflict(Option.some(new ObservedClaim(MINE, 5, "writer-1")), 0);

        assertThat(action, is(new ClaimAction.Run(5)));
    }

    @Test
    void readsBackWhenEveryWriteStaysUnknown() {
        mMachine.start();
        mMachine.writeFailed(true);
        mMachine.writeFailed(false);

        assertThat(mMachine.writeFailed(false), instanceOf(ClaimAction.ReadBack.class));
        assertThat(mMachine.readFailed(), is(refusal(RefusalReason.CLAIM_UNAVAILABLE)));
    }

    @Test
    void refusesAsNotRunWhenTheTableServiceIsNotReached() {
        mMachine.start();
        mMachine.writeFailed(false);
        mMachine.writeFailed(false);

        assertThat(mMachine.writeFailed(false), is(refusal(RefusalReason.CLAIM_UNAVAILABLE)));
    }

    @Test
    void respondsToAClaimOfAnotherRequestByItsState() {
        mMachine.start();

        assertThat(
                mMachine.conflict(other("digest", Option.none()), 999),
                is(refusal(RefusalReason.CLAIM_IN_PROGRESS)));
        assertThat(
                mMachine.conflict(other("digest", Option.none()), 1_000),
                is(refusal(RefusalReason.ANSWER_LOST)));
        assertThat(
                mMachine.conflict(other("digest", Option.some("stored")), 1_000),
                is(new ClaimAction.Replay("stored")));
        assertThat(
                mMachine.conflict(other("other", Option.some("stored")), 0),
                is(refusal(RefusalReason.CLAIM_MISMATCH)));
    }

    private static ClaimAction refusal(RefusalReason reason) {
        return new ClaimAction.Refuse(reason);
    }

    private static Option<ObservedClaim> other(String digest, Option<String> outcome) {
        return Option.some(new ObservedClaim(new Claim(digest, 1_000, outcome), 3, "writer-2"));
    }
}
