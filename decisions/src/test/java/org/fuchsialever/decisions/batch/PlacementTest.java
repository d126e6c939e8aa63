package org.fuchsialever.decisions.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.vavr.control.Option;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class PlacementTest {
    private static final List<Peer> MEMBERS =
            IntStream.range(0, 12).mapToObj(i -> new Peer("n" + i, "s" + i)).toList();

    @Test
    void keepsTheSmallStepsOfAModelAtOneInstance() {
        Set<Peer> owners = new HashSet<>();
        for (long step = 0; step < 20; step++) {
            owners.add(Placement.owner(MEMBERS, "alba", spec(step, 176)));
        }
        assertThat(owners, hasSize(1));
    }

    @Test
    void runsTwoLargeStepsInFlightAtDifferentInstances() {
        for (long step = 0; step < 20; step++) {
            assertThat(
                    Placement.owner(MEMBERS, "alba", spec(step, 1_600)),
                    is(not(Placement.owner(MEMBERS, "alba", spec(step + 1, 1_600)))));
        }
    }

    @Test
    void runsLargeStepsAtTheOnlyInstanceThatIsLeft() {
        List<Peer> one = MEMBERS.subList(0, 1);
        assertThat(Placement.owner(one, "alba", spec(3, 1_600)), is(one.get(0)));
    }

    private static BatchSpec spec(long step, int items) {
        List<BatchItem> list =
                IntStream.range(0, items)
                        .mapToObj(
                                i ->
                                        new BatchItem(
                                                "x" + i,
                                                "g",
                                                "/p",
                                                Map.of(),
                                                new byte[0],
                                                10,
                                                0,
                                                Option.none()))
                        .toList();
        return new BatchSpec("b", "m", step, 1, 1, list);
    }
}
