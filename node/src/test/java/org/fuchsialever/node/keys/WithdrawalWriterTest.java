package org.fuchsialever.node.keys;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.fuchsialever.decisions.keys.KeyHash;
import org.fuchsialever.decisions.keys.KeyRecord;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.services.Commit;
import org.fuchsialever.services.PlatformException;
import org.fuchsialever.services.fake.FakeTableService;
import org.fuchsialever.services.fake.Fault;
import org.junit.jupiter.api.Test;

/** Guards against a withdrawal that does not reach the table service. */
class WithdrawalWriterTest {
    private static final KeyId KEY = new KeyId("a");
    private static final KeyRecord GRANTED =
            new KeyRecord(KEY, new TeamName("alba"), KeyHash.of("5a17", "secret"), 0, false);

    private final FakeTableService mTables = new FakeTableService();
    private final WithdrawalWriter mWriter = new WithdrawalWriter(mTables, "test");

    @Test
    void marksAGrantedKey() {
        put(GRANTED, 0);

        assertThat(store(), is(true));
        assertThat(stored().withdrawn(), is(true));
        assertThat(stored().team(), is(GRANTED.team()));
    }

    @Test
    void leavesAMarkForAKeyThatWasNeverGranted() {
        assertThat(store(), is(true));
        assertThat(stored().withdrawn(), is(true));
    }

    @Test
    void reportsNoSuccessWhenAStaleReadMakesTheCommitConflict() {
        put(GRANTED, 0);
        mTables.beginStaleReads();
        put(GRANTED, 1);

        assertThat(store(), is(false));
        mTables.endStaleReads();
        assertThat(store(), is(true));
    }

    @Test
    void findsItsWithdrawalAfterALostAnswer() {
        put(GRANTED, 0);
        mTables.faults().addToNextChange(Fault.LOSE_ANSWER);

        assertThrows(PlatformException.class, this::store);
        assertThat(store(), is(true));
        assertThat(mTables.revision(), is(2L));
    }

    private boolean store() {
        return mWriter.store(KEY).blockOptional().orElseThrow();
    }

    private KeyRecord stored() {
        return KeyRows.decode(
                        mTables.read(KeyRows.TABLE, KEY.value())
                                .blockOptional()
                                .orElseThrow()
                                .get())
                .get()
                .key();
    }

    private void put(KeyRecord key, long version) {
        mTables.commit(
                        new Commit(
                                "operator",
                                List.of(new Commit.Condition(KeyRows.TABLE, KEY.value(), version)),
                                List.of(new Commit.Put(KeyRows.TABLE, KEY.value(), key.encode())),
                                List.of()))
                .block();
    }
}
