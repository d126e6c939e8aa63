package org.fuchsialever.decisions.version;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.kernel.duty.Duty;

/**
 * Shares out the engines of a service to its models in proportion to their demand. An engine keeps
 * its model while the shares are about right, because each change costs a load and discards the
 * engine's prompt cache. A new instance of this class finds the model of an engine from the
 * versions that the engine serves.
 */
final class EngineShares {
    /** Shares must have been off for this long before an engine changes its model. */
    private static final long HOLD_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** A move that has not ended by then no longer keeps others from starting. */
    private static final long MOVE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Engines move once surplus of one model plus deficit of another is this many engines. */
    private static final double START_IMBALANCE = 2;

    /** Engines move on until the sum is smaller than this; one move changes it by two. */
    private static final double STOP_IMBALANCE = 1.25;

    /** An engine that is this many versions behind may still belong to a model. */
    private static final long MAX_HOME_LAG = 2;

    /** Engines whose capacities differ by less count as equally fast. */
    private static final double CAPACITY_STEP = 0.25;

    /** Mixes of speeds that differ by less count as equally even. */
    private static final double MIX_STEP = 0.05;

    private final Map<String, String> mModelOf = new HashMap<>();
    private final Map<String, Move> mMoves = new HashMap<>();
    private long mOffSince = Duty.NO_TIMER;
    private boolean mMoving;

    /** Returns the engines of each model; there must be at least as many engines as models. */
    Map<String, List<FleetUpstream>> assign(ShareInputs inputs, long nowNanos) {
        ShareTally tally = new ShareTally(inputs);
        endMoves(inputs, tally, nowNanos);
        place(inputs, tally);
        rebalance(inputs, tally, nowNanos);
        return tally.engines();
    }

    /** Returns when the shares may change if nothing else happens. */
    long nextTimerNanos(long nowNanos) {
        long next = mOffSince == Duty.NO_TIMER ? Duty.NO_TIMER : mOffSince + HOLD_NANOS;
        if (next <= nowNanos) {
            next = Duty.NO_TIMER;
        }
        for (Move move : mMoves.values()) {
            next = Math.min(next, move.sinceNanos + MOVE_TIMEOUT_NANOS);
        }
        return next;
    }

    private void endMoves(ShareInputs inputs, ShareTally tally, long now) {
        Map<String, FleetUpstream> engines =
                inputs.engines().stream()
                        .collect(Collectors.toMap(FleetUpstream::id, engine -> engine));
        mModelOf.keySet().retainAll(engines.keySet());
        mModelOf.values().retainAll(inputs.models());
        mMoves.entrySet()
                .removeIf(
                        entry -> {
                            FleetUpstream engine = engines.get(entry.getKey());
                            String taker = entry.getValue().taker;
                            return engine == null
                                    || tally.lag(engine, taker)
                                            <= inputs.maxLags().getOrDefault(taker, 0L)
                                    || now - entry.getValue().sinceNanos >= MOVE_TIMEOUT_NANOS;
                        });
    }

    private void place(ShareInputs inputs, ShareTally tally) {
        List<Unplaced> bound = new ArrayList<>();
        List<FleetUpstream> free = new ArrayList<>();
        for (FleetUpstream engine : inputs.engines()) {
            if (inputs.models().stream().allMatch(name -> tally.lag(engine, name) == 0)) {
                // Loads nothing yet, so it may change its model at no cost.
                free.add(engine);
                continue;
            }
            String model = mModelOf.get(engine.id());
            if (model != null) {
                tally.place(engine, model);
                continue;
            }
            List<String> served =
                    inputs.models().stream()
                            .filter(name -> tally.lag(engine, name) <= MAX_HOME_LAG)
                            .toList();
            if (served.isEmpty() || served.size() == inputs.models().size()) {
                free.add(engine);
            } else {
                bound.add(new Unplaced(engine, served));
            }
        }
        bound.sort(
                Comparator.<Unplaced>comparingInt(unplaced -> unplaced.models.size())
                        .thenComparingDouble(unplaced -> -tally.capacityOf(unplaced.engine))
                        .thenComparing(unplaced -> unplaced.engine.id()));
        for (Unplaced unplaced : bound) {
            put(unplaced.engine, tally.neediest(unplaced.models), tally);
        }
        while (!free.isEmpty()) {
            String model = tally.neediest(inputs.models());
            FleetUpstream engine = bestFree(free, model, tally);
            free.remove(engine);
            put(engine, model, tally);
        }
    }

    private void put(FleetUpstream engine, String model, ShareTally tally) {
        mModelOf.put(engine.id(), model);
        tally.place(engine, model);
    }

    /** Fast engines are dealt first, so that each model gets its share of them. */
    private static FleetUpstream bestFree(
            List<FleetUpstream> free, String model, ShareTally tally) {
        return free.stream()
                .min(
                        Comparator.<FleetUpstream>comparingLong(
                                        engine ->
                                                -Math.round(
                                                        tally.capacityOf(engine) / CAPACITY_STEP))
                                .thenComparingLong(engine -> tally.lag(engine, model))
                                .thenComparingInt(engine -> tally.neighbours(engine, model))
                                .thenComparing(FleetUpstream::id))
                .orElseThrow();
    }

    private void rebalance(ShareInputs inputs, ShareTally tally, long now) {
        double minimum = mMoving ? STOP_IMBALANCE : START_IMBALANCE;
        if (mostOff(inputs.models(), minimum, tally).isEmpty()) {
            mOffSince = Duty.NO_TIMER;
            mMoving = false;
            return;
        }
        if (mOffSince == Duty.NO_TIMER) {
            mOffSince = now;
        }
        mMoving = mMoving || now - mOffSince >= HOLD_NANOS;
        if (!mMoving) {
            return;
        }
        Set<String> settled = new TreeSet<>(inputs.models());
        for (Move move : mMoves.values()) {
            settled.remove(move.giver);
            settled.remove(move.taker);
        }
        Option<Imbalance> next = mostOff(settled, STOP_IMBALANCE, tally);
        while (next.isDefined()) {
            Imbalance imbalance = next.get();
            Option<FleetUpstream> engine = bestToMove(imbalance, tally);
            if (engine.isDefined()) {
                tally.remove(engine.get(), imbalance.giver);
                put(engine.get(), imbalance.taker, tally);
                mMoves.put(engine.get().id(), new Move(imbalance.giver, imbalance.taker, now));
            }
            settled.remove(imbalance.giver);
            settled.remove(imbalance.taker);
            next = mostOff(settled, STOP_IMBALANCE, tally);
        }
    }

    /** Returns the models with the largest surplus and deficit if these reach a minimum. */
    private static Option<Imbalance> mostOff(
            Iterable<String> models, double minimum, ShareTally tally) {
        String giver = "";
        String taker = "";
        for (String model : models) {
            boolean larger = giver.isEmpty() || tally.surplus(model) > tally.surplus(giver);
            if (larger && tally.mayGive(model)) {
                giver = model;
            }
            if (taker.isEmpty() || tally.surplus(model) < tally.surplus(taker)) {
                taker = model;
            }
        }
        if (giver.isEmpty()) {
            return Option.none();
        }
        double engines = tally.surplus(giver) - tally.surplus(taker);
        return Option.when(engines >= minimum, new Imbalance(giver, taker, engines));
    }

    /** Returns the engine whose move leaves both models with the most even mix of speeds. */
    private static Option<FleetUpstream> bestToMove(Imbalance imbalance, ShareTally tally) {
        String giver = imbalance.giver;
        String taker = imbalance.taker;
        double largest = imbalance.engines / STOP_IMBALANCE;
        return Option.ofOptional(
                tally.enginesOf(giver).stream()
                        .filter(engine -> tally.capacityOf(engine) <= largest)
                        .min(
                                Comparator.<FleetUpstream>comparingLong(
                                                engine -> unevenness(engine, giver, taker, tally))
                                        .thenComparingLong(engine -> tally.lag(engine, taker))
                                        .thenComparingInt(
                                                engine ->
                                                        tally.neighbours(engine, taker)
                                                                - tally.neighbours(engine, giver))
                                        .thenComparing(FleetUpstream::id)));
    }

    /** Returns how far the speeds of two models are from the mean after a move, in steps. */
    private static long unevenness(
            FleetUpstream engine, String giver, String taker, ShareTally tally) {
        double ofGiver = tally.meanCapacityWithout(giver, engine);
        double ofTaker = tally.meanCapacityWith(taker, engine);
        return Math.round((Math.abs(ofGiver - 1) + Math.abs(ofTaker - 1)) / MIX_STEP);
    }

    private record Unplaced(FleetUpstream engine, List<String> models) {}

    private record Imbalance(String giver, String taker, double engines) {}

    private record Move(String giver, String taker, long sinceNanos) {}
}
