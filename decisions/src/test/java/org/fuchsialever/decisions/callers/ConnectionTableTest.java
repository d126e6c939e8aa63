package org.fuchsialever.decisions.callers;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import org.junit.jupiter.api.Test;

class ConnectionTableTest {
    private static final CallerLimits LIMITS = new CallerLimits(4, 6_000, 15_000, 1_000);

    private final ConnectionTable mTable = new ConnectionTable(() -> LIMITS);

    @Test
    void isFullAtItsNumberOfConnections() {
        for (int n = 1; n <= LIMITS.connections(); n++) {
            assertThat(mTable.isFull(), is(false));
            mTable.enter(n, ConnectionStage.SILENT, 0);
        }
        assertThat(mTable.isFull(), is(true));
        mTable.remove(1);
        assertThat(mTable.isFull(), is(false));
    }

    @Test
    void closesTheConnectionFirstThatHasBeenInItsStageForTheLongestTime() {
        mTable.enter(1, ConnectionStage.HEAD, 1);
        mTable.enter(2, ConnectionStage.HEAD, 2);
        mTable.enter(1, ConnectionStage.HEAD, 3);
        assertThat(mTable.firstToClose(4), is(Option.some(2L)));
    }

    @Test
    void closesConnectionsWithoutARequestBeforeThoseThatWaitForTheNextOne() {
        mTable.enter(1, ConnectionStage.IDLE, 0);
        mTable.enter(2, ConnectionStage.HEAD, 1);
        mTable.enter(3, ConnectionStage.SILENT, 2);
        assertThat(mTable.firstToClose(3), is(Option.some(3L)));
        mTable.remove(3);
        assertThat(mTable.firstToClose(3), is(Option.some(2L)));
        mTable.remove(2);
        assertThat(mTable.firstToClose(3), is(Option.some(1L)));
    }

    /** Guards against a request that was passed on and gets no response. */
    @Test
    void neverClosesAConnectionWhoseRequestIsInProgress() {
        mTable.enter(1, ConnectionStage.CALL, 0);
        assertThat(mTable.firstToClose(Long.MAX_VALUE), is(Option.none()));
        assertThat(mTable.overdue(Long.MAX_VALUE - 1), is(empty()));
        assertThat(mTable.needsChecks(), is(false));
    }

    @Test
    void closesForRoomOnlyThoseReadersThatHaveStopped() {
        mTable.enter(1, ConnectionStage.RESPONSE, 0);
        assertThat(mTable.firstToClose(LIMITS.unreadGraceNanos() - 1), is(Option.none()));
        assertThat(mTable.firstToClose(LIMITS.unreadGraceNanos()), is(Option.some(1L)));
    }

    @Test
    void closesHeadsAndResponsesWhoseTimeIsOver() {
        mTable.enter(1, ConnectionStage.HEAD, 0);
        mTable.enter(2, ConnectionStage.HEAD, 1);
        mTable.enter(3, ConnectionStage.RESPONSE, 0);
        assertThat(mTable.overdue(LIMITS.headNanos() - 1), is(empty()));
        assertThat(mTable.overdue(LIMITS.headNanos()), contains(1L));
        assertThat(mTable.overdue(LIMITS.unreadNanos()), contains(1L, 2L, 3L));
    }

    /** Guards against a kept connection that its caller wants to use again. */
    @Test
    void neverClosesAnIdleConnectionForItsTimeAlone() {
        mTable.enter(1, ConnectionStage.IDLE, 0);
        mTable.enter(2, ConnectionStage.SILENT, 0);
        assertThat(mTable.overdue(Long.MAX_VALUE - 1), is(empty()));
        assertThat(mTable.needsChecks(), is(false));
    }

    @Test
    void asksForChecksWhileAHeadOrAResponseIsOpen() {
        mTable.enter(1, ConnectionStage.HEAD, 0);
        assertThat(mTable.needsChecks(), is(true));
        mTable.enter(1, ConnectionStage.IDLE, 0);
        assertThat(mTable.needsChecks(), is(false));
        assertThat(mTable.count(ConnectionStage.HEAD), is(0));
    }

    @Test
    void ignoresAConnectionThatWasRemoved() {
        mTable.enter(1, ConnectionStage.HEAD, 0);
        mTable.remove(1);
        mTable.remove(1);
        assertThat(mTable.stage(1), is(Option.none()));
        assertThat(mTable.firstToClose(9), is(Option.none()));
    }
}
