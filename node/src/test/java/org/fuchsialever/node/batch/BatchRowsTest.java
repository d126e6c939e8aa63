package org.fuchsialever.node.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.nio.charset.StandardCharsets;
import org.fuchsialever.decisions.batch.BatchContent;
import org.fuchsialever.decisions.batch.BatchState;
import org.junit.jupiter.api.Test;

class BatchRowsTest {
    @Test
    void keepsTheExpectedTokensOfASubmission() {
        BatchState state = state(1447);
        assertThat(BatchRows.decodeState(BatchRows.encode(state)).get(), is(state));
    }

    @Test
    void readsARowWithoutExpectedTokensAsUnknown() {
        byte[] row = BatchRows.encode(state(0));
        assertThat(new String(row, StandardCharsets.UTF_8), not(containsString("tokens")));
        assertThat(BatchRows.decodeState(row).get().content().expectedTokens(), is(0L));
    }

    private static BatchState state(long expectedTokens) {
        return new BatchState(
                "b",
                "t",
                "h",
                "/p",
                8,
                2,
                100,
                "i",
                "s",
                1,
                false,
                new BatchContent("m", 1, 0, expectedTokens));
    }
}
