package org.fuchsialever.services.fake;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.kernel.time.ManualTimeSource;
import org.fuchsialever.services.Commit;
import org.junit.jupiter.api.Test;

/** Guards against faults that the fake does not inject, which would let other tests pass. */
class FakeTableServiceTest {
    private final VirtualTimers mTimers = new VirtualTimers(new ManualTimeSource(0));
    private final FakeTableService mTables = new FakeTableService(mTimers);

    @Test
    void showsStaleRowsToReadsButChecksCommitsAgainstTheLatest() {
        mTables.commit(put(0)).block();
        mTables.beginStaleReads();
        mTables.commit(put(1)).block();

        assertThat(mTables.read("t", "k").blockOptional().orElseThrow().get().version(), is(1L));
        assertThat(mTables.scan("t", "", 1).blockOptional().orElseThrow().size(), is(0));
        mTables.endStaleReads();
        assertThat(mTables.scan("t", "", 1).blockOptional().orElseThrow().size(), is(1));
    }

    @Test
    void takesEffectBeforeASlowResponse() {
        mTables.faults().setDelays(Duration.ofSeconds(1), Duration.ofSeconds(1));
        List<Object> responses = new ArrayList<>();
        mTables.commit(put(0)).subscribe(responses::add);

        mTimers.advance(Duration.ofMillis(1_500));
        assertThat(mTables.revision(), is(1L));
        assertThat(responses.size(), is(0));
        mTimers.advance(Duration.ofMillis(500));
        assertThat(responses.size(), is(1));
    }

    private static Commit put(long version) {
        return new Commit(
                "w",
                List.of(new Commit.Condition("t", "k", version)),
                List.of(new Commit.Put("t", "k", "x")),
                List.of());
    }
}
