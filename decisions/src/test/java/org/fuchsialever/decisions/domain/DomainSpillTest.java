package org.fuchsialever.decisions.domain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Plays the load of 80 instances that decide alike from reports that lag. */
class DomainSpillTest extends DomainFixture {
    private static final long SMALL = 600;
    private static final long LARGE = 500_000;

    @Test
    void callsStayWhileTheHomeDomainHasRoom() {
        upstreams(4, 4, 4);
        instances("a", 27, 12, SMALL);
        instances("b", 27, 12, SMALL);
        instances("c", 26, 12, SMALL);

        run(20 * SECOND);

        for (String domain : DOMAINS) {
            assertAbove(0.98, shareOf(sentFrom(domain, 0), domain));
        }
    }

    @Test
    void aDomainWithHalfOfItsRoomSendsAwayWhatItCannotRunAndWaitsEvenOut() {
        shortage();

        run(30 * SECOND);

        List<Sent> fromA = sentFrom("a", 10 * SECOND);
        double waitAtHome = meanWaitMillis(fromA.stream().filter(s -> s.to.equals("a")).toList());
        double waitAway = meanWaitMillis(fromA.stream().filter(s -> !s.to.equals("a")).toList());
        // At most half can stay, and neighbours with room are no reason to leave an idle home.
        assertAbove(0.5, 1 - shareOf(fromA, "a"));
        assertBelow(0.75, 1 - shareOf(fromA, "a"));
        assertBelow(WORK / (double) MILLI / 2, Math.abs(waitAtHome - waitAway));
        assertAbove(0.9, shareOf(sentFrom("b", 10 * SECOND), "b"));
    }

    @Test
    void instancesWithLaggingReportsDoNotHerdIntoOneNeighbour() {
        shortage();

        run(30 * SECOND);

        Map<String, Integer> perWindow = new HashMap<>();
        for (Sent sent : sentFrom("a", 10 * SECOND)) {
            if (!sent.to.equals("a")) {
                perWindow.merge(sent.to + sent.at / SECOND, 1, Integer::sum);
            }
        }
        for (long second = 10; second < 30; second++) {
            double toB = perWindow.getOrDefault("b" + second, 0);
            double toC = perWindow.getOrDefault("c" + second, 0);
            assertBelow(1.5 * (toB + toC) / 2, Math.max(toB, toC));
        }
    }

    @Test
    void noisyLoadDoesNotMakeSharesFlap() {
        shortage();
        noise();

        run(60 * SECOND);

        for (Instance instance : mInstances) {
            assertTrue(instance.mTurns <= 12, "turns " + instance.mTurns);
        }
    }

    @Test
    void callsReturnWithinTenSecondsOnceRoomIsBack() {
        shortage();
        run(15 * SECOND);

        upstreams(4, 0, 0);
        run(15 * SECOND);

        assertAbove(0.95, shareOf(sentFrom("a", 25 * SECOND), "a"));
    }

    @Test
    void aLostHomeDomainIsLeftAtOnceAndRefilledGradually() {
        upstreams(4, 4, 4);
        instances("a", 27, 10, SMALL);
        instances("b", 53, 20, SMALL);
        run(5 * SECOND);

        setServing("a", false);
        run(5 * SECOND);
        assertEquals(0, shareOf(sentFrom("a", 5 * SECOND), "a"));
        assertBelow(WORK / (double) MILLI, meanWaitMillis(sentFrom("a", 5 * SECOND)));

        setServing("a", true);
        run(SECOND);
        assertBelow(0.5, shareOf(sentFrom("a", 10 * SECOND), "a"));
        run(9 * SECOND);
        assertAbove(0.9, shareOf(sentFrom("a", 19 * SECOND), "a"));
        assertBelow(WORK / (double) MILLI, meanWaitMillis(sentFrom("a", 10 * SECOND)));
    }

    @Test
    void aLostNeighbourGetsNoCallAndTheOtherTakesItsPart() {
        shortage();
        run(10 * SECOND);

        setServing("b", false);
        long lost = mNow;
        run(5 * SECOND);

        assertEquals(0, shareOf(sentFrom("a", lost), "b"));
        assertAbove(0.3, shareOf(sentFrom("a", lost), "c"));
    }

    @Test
    void callsStayAsUsualWhenReportsStop() {
        shortage();
        run(10 * SECOND);
        assertAbove(0.3, meanShare("a"));

        mReporting = false;
        run(15 * SECOND);

        assertEquals(0, meanShare("a"));
    }

    @Test
    void largeBodiesStayLongerThanSmallOnes() {
        upstreams(2, 4, 4);
        instances("a", 14, 10, SMALL);
        instances("a", 13, 8, LARGE);
        instances("b", 27, 8, SMALL);
        instances("c", 26, 8, SMALL);

        run(30 * SECOND);

        List<Sent> fromA = sentFrom("a", 10 * SECOND);
        double large = shareOf(fromA.stream().filter(s -> s.bytes == LARGE).toList(), "a");
        double small = shareOf(fromA.stream().filter(s -> s.bytes == SMALL).toList(), "a");
        assertAbove(small + 0.2, large);
    }

    @Test
    void instancesWithFewCallsComeBackWhenNothingIsKnownOfTheirHome() {
        DomainSpill spill = new DomainSpill("a", DomainPolicy.ON, COST, mRandom.split());
        for (long now = 0; now < 5 * SECOND; now += 100 * MILLI) {
            spill.target(SERVICE, loads(Option.some(1.5), Option.some(0.3)), SMALL, now);
        }
        assertAbove(0.5, spill.share(SERVICE));

        spill.target(SERVICE, loads(Option.none(), Option.none()), SMALL, 60 * SECOND);

        assertEquals(0, spill.share(SERVICE));
    }

    @Test
    void callsStayWhenEveryDomainIsEquallyFull() {
        DomainSpill spill = new DomainSpill("a", DomainPolicy.ON, COST, mRandom.split());
        for (long now = 0; now < 5 * SECOND; now += 100 * MILLI) {
            spill.target(SERVICE, loads(Option.some(2.0), Option.some(2.0)), SMALL, now);
        }
        assertEquals(0, spill.share(SERVICE));
    }

    @Test
    void aPolicyOfAutoNeedsUpstreamsThatReportTheirSlowdown() {
        assertTrue(DomainPolicy.AUTO.appliesTo(true));
        assertFalse(DomainPolicy.AUTO.appliesTo(false));
        assertTrue(DomainPolicy.ON.appliesTo(false));
        assertFalse(DomainPolicy.OFF.appliesTo(true));
    }

    /** Domain a has room for half of its calls, b and c are filled to a third. */
    private void shortage() {
        upstreams(2, 4, 4);
        instances("a", 27, 24, SMALL);
        instances("b", 27, 8, SMALL);
        instances("c", 26, 8, SMALL);
    }

    /** Slows an upstream in seven by 2.5 for a fraction of a second again and again. */
    private void noise() {
        for (Upstream upstream : mUpstreams) {
            upstream.mSlowdown = mRandom.nextDouble() < 0.15 ? 2.5 : 1;
        }
        at(mNow + 400 * MILLI, this::noise);
    }

    private static void assertAbove(double bound, double value) {
        assertTrue(value > bound, () -> value + " is not above " + bound);
    }

    private static void assertBelow(double bound, double value) {
        assertTrue(value < bound, () -> value + " is not below " + bound);
    }

    private static List<DomainLoad> loads(Option<Double> home, Option<Double> neighbour) {
        return List.of(
                new DomainLoad("a", 12, 12, 1, home), new DomainLoad("b", 12, 12, 1, neighbour));
    }
}
