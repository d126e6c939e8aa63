package org.fuchsialever.cli.demo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.fuchsialever.cli.standins.StandInFiles;
import org.fuchsialever.standins.StandInEnvironment;
import org.fuchsialever.standins.TrainerOptions;
import org.fuchsialever.standins.TrainerRecord;
import org.fuchsialever.standins.TrainerStandIn;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Two trainers of one model; each step that one of them trains makes new weights. */
final class DemoTrainers implements AutoCloseable {
    private static final int TRAINERS = 2;
    private static final int GROUPS = 8;
    private static final int SAMPLES = 4;
    private static final int MAX_TOKENS = 320;
    private static final int MAX_STALENESS = 4;
    private static final Duration TRAINING = Duration.ofMillis(400);
    private static final Duration SWAP_INTERVAL = Duration.ofMillis(30);

    private final StandInEnvironment mWorld;
    private final List<TrainerStandIn> mTrainers = new ArrayList<>();
    private final AtomicLong mNewestVersion = new AtomicLong();

    DemoTrainers(StandInEnvironment world, List<String> urls, DemoKey key) {
        mWorld = world;
        AtomicInteger turn = new AtomicInteger();
        for (int i = 1; i <= TRAINERS; i++) {
            TrainerOptions options =
                    new TrainerOptions()
                            .trainer("trainer-" + i)
                            .model(StandInFiles.MODEL)
                            .key(key.text())
                            .step(GROUPS, SAMPLES, MAX_TOKENS)
                            .maxStaleness(MAX_STALENESS)
                            .deadline(Duration.ofSeconds(60))
                            .trainingTime(TRAINING);
            mTrainers.add(
                    new TrainerStandIn(
                            options,
                            () -> urls.get(turn.getAndIncrement() % urls.size()),
                            this::publish));
        }
    }

    /** Runs steps; completes when all trainers have trained on all of them. */
    Mono<Void> run(int steps) {
        return Flux.fromIterable(mTrainers).flatMap(trainer -> trainer.run(1, steps)).then();
    }

    long newestVersion() {
        return mNewestVersion.get();
    }

    /** Returns the number of samples in accepted submissions. */
    long submitted() {
        return mTrainers.stream()
                .mapToLong(trainer -> trainer.responseCounts().getOrDefault("submit 202", 0L))
                .map(steps -> steps * GROUPS * SAMPLES)
                .sum();
    }

    List<TrainerRecord> records() {
        return mTrainers.stream().map(TrainerStandIn::record).toList();
    }

    /** Returns the answers and failures of the trainers' requests. */
    List<String> answers() {
        return mTrainers.stream().map(trainer -> trainer.responseCounts().toString()).toList();
    }

    /** Returns the highest share of time in which a trainer waited. */
    double idleShare() {
        return mTrainers.stream().mapToDouble(TrainerStandIn::idleShare).max().orElse(0);
    }

    @Override
    public void close() {
        mTrainers.forEach(TrainerStandIn::close);
    }

    /** Puts new weights on one engine after the other, while requests run. */
    private void publish(long version) {
        long newest = mNewestVersion.accumulateAndGet(version, Math::max);
        mWorld.weightStore().publish(StandInFiles.MODEL, newest);
        mTrainers.forEach(trainer -> trainer.record().newestVersion(newest));
        Flux.range(1, DemoDeployment.ENGINES)
                .delayElements(SWAP_INTERVAL)
                .subscribe(i -> mWorld.engine("engine-" + i).loadVersion(newest));
    }
}
