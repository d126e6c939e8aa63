package org.fuchsialever.decisions.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class PartialTextTest {
    private static final int ROUNDS = 5_000;

    @Test
    void joinsSegmentsThatContinueEachOther() {
        PartialText text =
                PartialText.join(
                        List.of(segment(3, "r2", "r1", "c"), segment(1, "r1", "", "a", "b")));
        assertThat(text.events(), is(List.of("a", "b", "c")));
        assertThat(text.lastEvent(), is(3L));
        assertThat(text.lastRun(), is("r2"));
    }

    @Test
    void leavesOutWhatFollowsAGapOrAnotherRun() {
        assertThat(
                PartialText.join(List.of(segment(1, "r1", "", "a"), segment(3, "r1", "r1", "c")))
                        .lastEvent(),
                is(1L));
        assertThat(
                PartialText.join(List.of(segment(1, "r1", "", "a"), segment(2, "r2", "r3", "b")))
                        .lastEvent(),
                is(1L));
        assertThat(PartialText.join(List.of(segment(2, "r1", "r0", "b"))), is(PartialText.NONE));
    }

    /** Each event names its run and the one that its run continued, so a wrong joint shows. */
    @Test
    void neverJoinsEventsOfRunsThatDidNotContinueEachOther() {
        SplittableRandom random = new SplittableRandom(11);
        for (int round = 0; round < ROUNDS; round++) {
            List<TextSegment> rows = new ArrayList<>();
            for (int run = 0; run < 4; run++) {
                PartialText read = PartialText.join(rows);
                PartialText beginning = random.nextInt(3) == 0 ? PartialText.NONE : read;
                long first = beginning.isEmpty() ? 1 : beginning.lastEvent() + 1;
                String continues = beginning.lastRun();
                for (int part = random.nextInt(4); part > 0; part--) {
                    int length = random.nextInt(1, 3);
                    List<String> events = new ArrayList<>();
                    for (int event = 0; event < length; event++) {
                        events.add("r" + run + "<" + (event == 0 ? continues : "r" + run));
                    }
                    TextSegment written =
                            new TextSegment("x", first, "r" + run, continues, events, List.of(1L));
                    rows.removeIf(row -> row.key().equals(written.key()));
                    rows.add(written);
                    first += length;
                    continues = "r" + run;
                }
            }
            assertLinked(PartialText.join(rows).events());
        }
    }

    private static void assertLinked(List<String> events) {
        String last = "";
        for (String event : events) {
            String[] parts = event.split("<", -1);
            assertThat(String.join(" ", events), parts[1], is(last));
            last = parts[0];
        }
    }

    private static TextSegment segment(long first, String run, String continues, String... events) {
        return new TextSegment("x", first, run, continues, List.of(events), List.of(1L));
    }
}
