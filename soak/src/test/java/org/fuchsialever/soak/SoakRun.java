package org.fuchsialever.soak;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.awaitility.core.ConditionTimeoutException;
import org.fuchsialever.platform.CallerStandIn;

/** One run: instances start, serve under disturbances, recover, and all promises are checked. */
final class SoakRun {
    private static final Logger LOG = System.getLogger(SoakRun.class.getName());

    /** Disturbances begin within this time. */
    private static final int DISTURBED_MILLIS = 10_000;

    /** After the last disturbance, instances must serve again within this time. */
    private static final Duration RECOVERY = Duration.ofSeconds(15);

    /** Items may be given up this long after their submission. */
    private static final Duration LONGEST_SUBMISSION = Duration.ofSeconds(40);

    private static final Duration START = Duration.ofSeconds(60);

    /** Identity of the calls that ask whether an instance serves. */
    static final String PROBE = "probe";

    private static final int CALL_INTERVAL_MILLIS = 10;
    private static final int SUBMISSION_INTERVAL_MILLIS = 500;
    private static final int READ_INTERVAL_MILLIS = 50;

    private final long mSeed;
    private final Path mDirectory;
    private final SoakScale mScale;

    SoakRun(long seed, Path directory, SoakScale scale) {
        mScale = scale;
        mSeed = seed;
        mDirectory = directory;
    }

    /** Returns the promises that were broken. */
    List<String> findings() throws IOException {
        SplittableRandom random = new SplittableRandom(mSeed);
        ScheduledExecutorService callers = Executors.newSingleThreadScheduledExecutor();
        ScheduledExecutorService faults = Executors.newSingleThreadScheduledExecutor();
        try (SoakWorld world = new SoakWorld(mDirectory.resolve("seed-" + mSeed));
                Caller caller = new Caller()) {
            LiveCallers live = new LiveCallers(world, caller, random.split(), mScale);
            Trainer trainer = new Trainer(world, caller, random.split(), mScale);
            awaitServing(world, caller, START);
            repeat(callers, live::send, CALL_INTERVAL_MILLIS);
            repeat(callers, trainer::submit, SUBMISSION_INTERVAL_MILLIS);
            repeat(callers, trainer::readAny, READ_INTERVAL_MILLIS);
            disturb(world, faults, random.split());
            world.heal();
            awaitServing(world, caller, RECOVERY);
            callers.shutdown();
            within(START, () -> live.isIdle() && trainer.isIdle());
            awaitResults(world, trainer);
            return Promise.checkAll(Evidence.of(world));
        } catch (ConditionTimeoutException e) {
            return List.of("RECOVERY: " + e.getMessage());
        } finally {
            callers.shutdownNow();
            faults.shutdownNow();
        }
    }

    private void disturb(
            SoakWorld world, ScheduledExecutorService faults, SplittableRandom random) {
        int end = DISTURBED_MILLIS;
        for (FaultPlan.Entry entry : FaultPlan.of(random, DISTURBED_MILLIS)) {
            SplittableRandom choices = random.split();
            faults.schedule(
                    () -> begin(world, faults, entry, choices), entry.atMillis(), MILLISECONDS);
            end = Math.max(end, entry.atMillis() + entry.lengthMillis());
        }
        try {
            faults.schedule(() -> {}, end, MILLISECONDS).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (java.util.concurrent.ExecutionException e) {
            throw new IllegalStateException("the last disturbance did not end", e);
        }
    }

    private void begin(
            SoakWorld world,
            ScheduledExecutorService faults,
            FaultPlan.Entry entry,
            SplittableRandom random) {
        long begin = System.nanoTime();
        try {
            SoakFault.Healing healing = entry.fault().begin(world, random);
            LOG.log(Level.INFO, "seed {0}: {1}", mSeed, entry);
            faults.schedule(
                    () -> heal(world, entry, healing, begin), entry.lengthMillis(), MILLISECONDS);
        } catch (IOException e) {
            world.record().violation(entry + " could not begin: " + e);
        }
    }

    private static void heal(
            SoakWorld world, FaultPlan.Entry entry, SoakFault.Healing healing, long begin) {
        try {
            healing.run();
        } catch (IOException e) {
            world.record().violation(entry + " could not end: " + e);
        }
        if (!entry.fault().isPlanned()) {
            world.record().disturbed(begin, System.nanoTime());
        }
    }

    private static void repeat(ScheduledExecutorService callers, Runnable step, int millis) {
        callers.scheduleAtFixedRate(step, 0, millis, MILLISECONDS);
    }

    private static void awaitServing(SoakWorld world, Caller caller, Duration bound) {
        for (InstanceProgram instance : world.instances()) {
            within(
                    bound,
                    () ->
                            caller.call(instance, "GET", "/safe/x", PROBE, "")
                                            .blockOptional()
                                            .map(CallerStandIn.Response::status)
                                            .orElse(0)
                                    == 200);
        }
    }

    /** Reads all accepted submissions whole at each instance. */
    private static void awaitResults(SoakWorld world, Trainer trainer) {
        for (SoakRecord.Submission submission : world.record().submissions()) {
            for (InstanceProgram instance : world.instances()) {
                if (submission.accepted() && !world.record().isEnded(submission.id())) {
                    within(
                            LONGEST_SUBMISSION,
                            () -> {
                                int listed =
                                        trainer.readAll(instance, submission.id(), 0)
                                                .blockOptional()
                                                .orElse(0);
                                return listed == submission.items().size();
                            });
                }
            }
        }
    }

    private static void within(Duration bound, Callable<Boolean> condition) {
        await().atMost(bound).pollInterval(Duration.ofMillis(100)).until(condition);
    }
}
