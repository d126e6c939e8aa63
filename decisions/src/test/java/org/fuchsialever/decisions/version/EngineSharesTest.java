package org.fuchsialever.decisions.version;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EngineSharesTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final List<String> MODELS = List.of("m1", "m2", "m3", "m4");
    private static final Map<String, Double> DEMAND =
            Map.of("m1", 640.0, "m2", 1447.0, "m3", 1350.0, "m4", 812.0);

    private final Map<String, FleetUpstream> mEngines = new HashMap<>();
    private final Map<String, Double> mSpeeds = new HashMap<>();
    private final Map<String, Long> mAnnounced = new HashMap<>();
    private EngineShares mShares = new EngineShares();
    private Map<String, List<FleetUpstream>> mAssigned = Map.of();
    private long mNow;
    private int mChanges;

    @BeforeEach
    void startWithEnginesThatServeTheFirstVersionOfAllModels() {
        MODELS.forEach(model -> mAnnounced.put(model, 1L));
        for (int i = 0; i < 31; i++) {
            add("e" + i, "z" + i % 3);
        }
    }

    @Test
    void sharesOutAtOnceWhileNoEngineHasLoadedAnything() {
        step(Map.of(), 1);
        stepWithoutLoads(DEMAND);
        assertThat((double) count("m2"), is(closeTo(10.6, 1)));
    }

    @Test
    void startsWithEqualSharesWhileNoDemandIsKnown() {
        step(Map.of(), 1);
        MODELS.forEach(model -> assertThat(count(model), is(greaterThanOrEqualTo(7))));
    }

    @Test
    void followsTheDemandOfTheModels() {
        announceSteps(3, Map.of());
        announceSteps(5, DEMAND);
        assertThat((double) count("m1"), is(closeTo(4.7, 1)));
        assertThat((double) count("m2"), is(closeTo(10.6, 1)));
        assertThat((double) count("m3"), is(closeTo(9.8, 1)));
        assertThat((double) count("m4"), is(closeTo(5.9, 1)));
    }

    @Test
    void spreadsTheEnginesOfAModelOverFailureDomains() {
        step(DEMAND, 1);
        for (String model : MODELS) {
            for (String domain : List.of("z0", "z1", "z2")) {
                long there =
                        engines(model).stream()
                                .filter(engine -> engine.failureDomain().equals(domain))
                                .count();
                assertThat((double) there, is(closeTo(count(model) / 3.0, 1.4)));
            }
        }
    }

    @Test
    void keepsAllEnginesWhileDemandOnlyVaries() {
        announceSteps(5, DEMAND);
        mChanges = 0;
        SplittableRandom random = new SplittableRandom(7);
        for (int i = 0; i < 100; i++) {
            Map<String, Double> varied = new HashMap<>();
            DEMAND.forEach(
                    (model, demand) -> varied.put(model, demand * random.nextDouble(0.93, 1.07)));
            step(varied, 2);
        }
        assertThat(mChanges, is(0));
    }

    @Test
    void keepsAllEnginesThroughAShortPeakOfDemand() {
        announceSteps(5, DEMAND);
        mChanges = 0;
        step(Map.of("m1", 9_000.0, "m2", 1447.0, "m3", 1350.0, "m4", 812.0), 2);
        step(DEMAND, 10);
        assertThat(mChanges, is(0));
    }

    @Test
    void movesOneEngineOfAModelAtATime() {
        announceSteps(3, Map.of());
        for (int i = 0; i < 60; i++) {
            int before = mChanges;
            stepWithoutLoads(DEMAND);
            assertThat(mChanges - before, is(lessThanOrEqualTo(2)));
        }
        // Without any load done the first moves end only by their timeout.
        assertThat(mChanges, is(lessThanOrEqualTo(12)));
    }

    @Test
    void leavesTheMinimumToAModelWhoseTrainerHasStopped() {
        announceSteps(5, DEMAND);
        step(Map.of("m1", 640.0, "m2", 0.0, "m3", 1350.0, "m4", 812.0), 60);
        assertThat(count("m2"), is(lessThanOrEqualTo(3)));
        assertThat(count("m2"), is(greaterThanOrEqualTo(2)));
        assertThat(count("m3"), is(greaterThanOrEqualTo(13)));
    }

    @Test
    void replacesALostEngineWithoutMovingOthers() {
        announceSteps(5, DEMAND);
        FleetUpstream lost = engines("m2").get(0);
        mEngines.remove(lost.id());
        mChanges = 0;
        step(DEMAND, 2);
        add("new", lost.failureDomain());
        step(DEMAND, 10);
        assertThat(mChanges, is(0));
        assertThat(engines("m2").stream().anyMatch(e -> e.id().equals("new")), is(true));
    }

    @Test
    void coversTheLossOfAWholeFailureDomain() {
        announceSteps(5, DEMAND);
        mEngines.values().removeIf(engine -> engine.failureDomain().equals("z1"));
        step(DEMAND, 30);
        assertThat((double) count("m2"), is(closeTo(7.1, 1)));
        assertThat(count("m1"), is(greaterThanOrEqualTo(2)));
    }

    @Test
    void continuesFromTheVersionsThatEnginesServeWhenTheHolderIsReplaced() {
        announceSteps(5, DEMAND);
        for (int version = 0; version < 5; version++) {
            MODELS.forEach(model -> mAnnounced.merge(model, 1L, Long::sum));
            step(DEMAND, 4);
        }
        mChanges = 0;
        mShares = new EngineShares();
        announceSteps(5, DEMAND);
        assertThat(mChanges, is(0));
    }

    @Test
    void continuesWhenTheHolderIsReplacedInTheMiddleOfAMove() {
        step(Map.of(), 1);
        announceSteps(5, Map.of());
        step(DEMAND, 4);
        mChanges = 0;
        mShares = new EngineShares();
        stepWithoutLoads(DEMAND);
        assertThat(mChanges, is(lessThanOrEqualTo(2)));
        announceSteps(5, DEMAND);
        assertThat((double) count("m2"), is(closeTo(10.6, 1)));
    }

    @Test
    void keepsTheEnginesOfAStalledModelApartFromThoseThatItLent() {
        announceSteps(5, DEMAND);
        Map<String, Double> stopped = Map.of("m1", 640.0, "m2", 0.0, "m3", 1350.0, "m4", 812.0);
        for (int version = 0; version < 12; version++) {
            List.of("m1", "m3", "m4").forEach(model -> mAnnounced.merge(model, 1L, Long::sum));
            step(stopped, 4);
        }
        int before = count("m3");
        mShares = new EngineShares();
        step(stopped, 1);
        assertThat((double) count("m3"), is(closeTo(before, 1)));
    }

    @Test
    void dealsFastEnginesToAllModels() {
        for (int i = 0; i < 31; i++) {
            mSpeeds.put("e" + i, i % 3 == 0 ? 1.7 : 0.7);
        }
        step(DEMAND, 1);
        for (String model : MODELS) {
            double speed = engines(model).stream().mapToDouble(this::speed).average().orElse(0);
            assertThat(speed, is(closeTo(1.03, 0.25)));
        }
    }

    @Test
    void leavesTwoEnginesToASmallModelThatHasAFastOne() {
        for (int i = 0; i < 31; i++) {
            mSpeeds.put("e" + i, i < 4 ? 3.0 : 0.7);
        }
        step(Map.of("m1", 1.0, "m2", 1447.0, "m3", 1350.0, "m4", 812.0), 1);
        assertThat(count("m1"), is(greaterThanOrEqualTo(2)));
    }

    @Test
    void givesMoreEnginesToAModelWhoseEnginesHaveBecomeSlow() {
        announceSteps(5, DEMAND);
        int before = count("m2");
        engines("m2").forEach(engine -> mSpeeds.put(engine.id(), 0.7));
        step(DEMAND, 30);
        assertThat(count("m2"), is(greaterThanOrEqualTo(before + 1)));
    }

    @Test
    void givesEachModelAnEngineWhenThereAreJustEnough() {
        mEngines.keySet().retainAll(List.of("e1", "e2", "e3", "e4"));
        announceSteps(5, DEMAND);
        MODELS.forEach(model -> assertThat(count(model), is(1)));
    }

    private double speed(FleetUpstream engine) {
        return mSpeeds.getOrDefault(engine.id(), 1.0);
    }

    private void announceSteps(int steps, Map<String, Double> demand) {
        for (int version = 0; version < steps; version++) {
            MODELS.forEach(model -> mAnnounced.merge(model, 1L, Long::sum));
            step(demand, 4);
        }
    }

    /** Lets seconds pass; engines load the newest versions of their models. */
    private void step(Map<String, Double> demand, int seconds) {
        for (int i = 0; i < 2 * seconds; i++) {
            stepWithoutLoads(demand);
            mAssigned.forEach(
                    (model, engines) -> engines.forEach(engine -> load(engine.id(), model)));
        }
    }

    private void load(String id, String model) {
        FleetUpstream engine = mEngines.get(id);
        if (engine != null) {
            Map<String, Long> versions = new HashMap<>(engine.versions());
            versions.put(model, mAnnounced.getOrDefault(model, 1L));
            mEngines.put(id, engine(id, engine.failureDomain(), versions));
        }
    }

    private void stepWithoutLoads(Map<String, Double> demand) {
        Map<String, String> before = homes();
        mAssigned =
                mShares.assign(
                        new ShareInputs(
                                MODELS,
                                demand,
                                new ArrayList<>(mEngines.values()),
                                mSpeeds,
                                mAnnounced,
                                Map.of()),
                        mNow);
        homes().forEach(
                        (id, model) -> {
                            if (!before.getOrDefault(id, model).equals(model)) {
                                mChanges++;
                            }
                        });
        mNow += SECOND / 2;
    }

    private Map<String, String> homes() {
        Map<String, String> homes = new HashMap<>();
        mAssigned.forEach(
                (model, engines) -> engines.forEach(engine -> homes.put(engine.id(), model)));
        return homes;
    }

    private List<FleetUpstream> engines(String model) {
        return mAssigned.getOrDefault(model, List.of());
    }

    private int count(String model) {
        return engines(model).size();
    }

    private void add(String id, String domain) {
        Map<String, Long> versions = new HashMap<>();
        MODELS.forEach(model -> versions.put(model, 1L));
        mEngines.put(id, engine(id, domain, versions));
    }

    private static FleetUpstream engine(String id, String domain, Map<String, Long> versions) {
        return new FleetUpstream(id, "s", "10.0.0.1", 80, domain, 6, true, versions, 1);
    }
}
