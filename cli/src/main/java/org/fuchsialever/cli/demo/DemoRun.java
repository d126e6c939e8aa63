package org.fuchsialever.cli.demo;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fuchsialever.kernel.lifecycle.Closer;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Traffic and rollouts on a deployment, during which a key is withdrawn and engines change. */
final class DemoRun {
    private static final int OK = 200;
    private static final int UNAUTHENTICATED = 401;
    private static final int PROGRESS_SECONDS = 2;
    private static final int SECONDS_PER_STEP = 2;
    private static final int MIN_STEPS = 3;
    private static final long POLL_MILLIS = 100;
    private static final long LEAVE_PERCENT = 25;
    private static final long WITHDRAW_PERCENT = 45;
    private static final long RESTART_PERCENT = 65;
    private static final Duration CALL_INTERVAL = Duration.ofMillis(40);
    private static final Duration KEYS_BOUND = Duration.ofSeconds(10);
    private static final Duration WITHDRAWAL_BOUND = Duration.ofSeconds(5);
    private static final Duration GRACE = Duration.ofSeconds(15);

    private final DemoDeployment deployment;
    private final int seconds;
    private final CountDownLatch stop;
    private final Consumer<String> progress;
    private final Closer closer = new Closer();
    private final CallTally tally = new CallTally();
    private final DemoCallers callers;
    private final List<String> problems = new ArrayList<>();

    DemoRun(
            DemoDeployment deployment,
            int seconds,
            CountDownLatch stop,
            Consumer<String> progress) {
        this.deployment = deployment;
        this.seconds = seconds;
        this.stop = stop;
        this.progress = progress;
        this.callers = closer.register("callers", new DemoCallers(deployment.urls(), tally));
    }

    /** Runs everything and checks what must hold. */
    DemoReport run() throws Exception {
        try (closer) {
            List<DemoKey> keys =
                    List.of(
                            deployment.grant("alba"),
                            deployment.grant("bistra"),
                            deployment.grant("cerna"));
            DemoKey withdrawn = deployment.grant("bistra");
            DemoKey tuning = deployment.grant("tuning");
            List<DemoKey> all = new ArrayList<>(keys);
            all.add(withdrawn);
            awaitKeys(all);
            awaitKeys(List.of(tuning));
            DemoTrainers trainers =
                    closer.register(
                            "trainers",
                            new DemoTrainers(deployment.world(), deployment.urls(), tuning));
            progress.accept("All instances are ready; traffic starts.");
            CompletableFuture<Void> work = start(trainers, all);
            follow(work, trainers, withdrawn);
            return new DemoReport(deployment, tally, trainers, problems);
        }
    }

    private CompletableFuture<Void> start(DemoTrainers trainers, List<DemoKey> keys) {
        Duration length = Duration.ofSeconds(seconds);
        Mono<Void> calls =
                Flux.fromIterable(keys)
                        .flatMap(key -> callers.run(key, CALL_INTERVAL, length))
                        .then();
        Mono<Void> rollouts = trainers.run(Math.max(MIN_STEPS, seconds / SECONDS_PER_STEP));
        return Mono.when(calls, rollouts).toFuture();
    }

    /** Makes the changes at their times, shows progress and waits for the end of the work. */
    private void follow(CompletableFuture<Void> work, DemoTrainers trainers, DemoKey withdrawn)
            throws IOException, InterruptedException {
        long start = System.nanoTime();
        await(work, start, LEAVE_PERCENT, trainers);
        deployment.leave("engine-2");
        progress.accept("Engine engine-2 leaves.");
        await(work, start, WITHDRAW_PERCENT, trainers);
        long withdrawnNanos = System.nanoTime();
        tally.withdrawing(withdrawn, withdrawnNanos);
        deployment.withdraw(withdrawn);
        progress.accept("A key of team bistra is withdrawn.");
        await(work, start, RESTART_PERCENT, trainers);
        deployment.world().engine("engine-3").restart("engine-3-start-2", trainers.newestVersion());
        progress.accept("Engine engine-3 restarts.");
        awaitEnd(work, start, trainers);
        long left = withdrawnNanos + WITHDRAWAL_BOUND.toNanos() - System.nanoTime();
        stop.await(Math.max(0, left), TimeUnit.NANOSECONDS);
        checkWithdrawn(withdrawn);
    }

    private void await(
            CompletableFuture<Void> work, long startNanos, long percent, DemoTrainers trainers)
            throws InterruptedException {
        waitUntil(work, startNanos + TimeUnit.SECONDS.toNanos(seconds) * percent / 100, trainers);
    }

    private void awaitEnd(CompletableFuture<Void> work, long startNanos, DemoTrainers trainers)
            throws InterruptedException {
        waitUntil(work, startNanos + TimeUnit.SECONDS.toNanos(seconds) + GRACE.toNanos(), trainers);
        if (!work.isDone()) {
            problems.add("calls or rollouts did not end in time: " + trainers.answers());
        } else if (work.isCompletedExceptionally()) {
            problems.add("calls or rollouts failed");
        }
    }

    private void waitUntil(CompletableFuture<Void> work, long endNanos, DemoTrainers trainers)
            throws InterruptedException {
        long nextProgress = System.nanoTime() + TimeUnit.SECONDS.toNanos(PROGRESS_SECONDS);
        while (System.nanoTime() < endNanos && !work.isDone()) {
            if (stop.await(POLL_MILLIS, TimeUnit.MILLISECONDS)) {
                throw new InterruptedException("told to stop");
            }
            if (System.nanoTime() > nextProgress) {
                nextProgress += TimeUnit.SECONDS.toNanos(PROGRESS_SECONDS);
                showProgress(trainers);
            }
        }
    }

    private void showProgress(DemoTrainers trainers) {
        long delivered = trainers.records().stream().mapToLong(record -> record.samples()).sum();
        progress.accept(
                "samples %d/%d, weights %d, live answers %d, plain answers %d, refused %d"
                        .formatted(
                                delivered,
                                trainers.submitted(),
                                trainers.newestVersion(),
                                tally.liveCompleted(),
                                tally.plainCompleted(),
                                tally.refusedCalls()));
    }

    /** Waits until every instance knows every key. */
    private void awaitKeys(List<DemoKey> keys) throws InterruptedException {
        long end = System.nanoTime() + KEYS_BOUND.toNanos();
        for (DemoKey key : keys) {
            for (String url : deployment.urls()) {
                while (status(key, url) != OK) {
                    if (System.nanoTime() > end || stop.await(POLL_MILLIS, TimeUnit.MILLISECONDS)) {
                        throw new IllegalStateException("a granted key is refused at " + url);
                    }
                }
            }
        }
    }

    private void checkWithdrawn(DemoKey key) {
        for (String url : deployment.urls()) {
            int status = status(key, url);
            if (status != UNAUTHENTICATED) {
                problems.add("a withdrawn key is answered with " + status + " after 5 s");
            }
        }
    }

    private int status(DemoKey key, String url) {
        return callers.probe(key, url).blockOptional().orElse(0);
    }
}
