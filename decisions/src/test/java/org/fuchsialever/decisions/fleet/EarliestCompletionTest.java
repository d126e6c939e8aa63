package org.fuchsialever.decisions.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EarliestCompletionTest {
    private static final long ESTIMATE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    private static final int CHOICES_PER_PAIR = 200;

    private final EarliestCompletion mChoice = new EarliestCompletion(new SplittableRandom(1));

    /** Guards against an idle upstream that never gets a call because it has not had one lately. */
    @ParameterizedTest
    @ValueSource(ints = {2, 3, 4, 12})
    void usesEachOfEqualUpstreamsAgainAndAgain(int count) {
        List<UpstreamState> upstreams = upstreams(count);
        for (int round = 0; round < 5; round++) {
            Integer[] calls = new Integer[count];
            Arrays.fill(calls, 0);
            for (int choice = 0; choice < CHOICES_PER_PAIR * count * count; choice++) {
                calls[upstreams.indexOf(choose(upstreams, choice))]++;
            }
            assertThat(List.of(calls), everyItem(is(greaterThan(0))));
        }
    }

    /** An upstream that was used lately has an open connection. */
    @Test
    void prefersTheUpstreamThatWasUsedLaterOfTwoEqualOnes() {
        int recent = 0;
        for (int choice = 0; choice < 1_000; choice++) {
            List<UpstreamState> upstreams = upstreams(12);
            for (int index = 0; index < 6; index++) {
                upstreams.get(index).callStarted(index);
            }
            recent += upstreams.indexOf(choose(upstreams, 100)) < 6 ? 1 : 0;
        }
        assertThat(recent, is(greaterThan(650)));
    }

    private UpstreamState choose(List<UpstreamState> upstreams, long now) {
        UpstreamState chosen =
                mChoice.choose(upstreams, any -> ESTIMATE_NANOS, "").get().upstream();
        chosen.callStarted(now);
        return chosen;
    }

    private static List<UpstreamState> upstreams(int count) {
        return IntStream.range(0, count)
                .mapToObj(
                        index ->
                                new UpstreamState(
                                        new FleetUpstream(
                                                "u" + index,
                                                "s",
                                                "127.0.0.1",
                                                1,
                                                "d",
                                                8,
                                                true,
                                                Map.of(),
                                                0)))
                .toList();
    }
}
