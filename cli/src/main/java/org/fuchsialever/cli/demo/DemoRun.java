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

    private final DemoDeployment mDeployment;
    private final int mSeconds;
    private final CountDownLatch mStop;
    private final Consumer<String> mProgress;
    private final Closer mCloser = new Closer();
    private final CallTally mTally = new CallTally();
    private final DemoCallers mCallers;
    private final List<String> mProblems = new ArrayList<>();

    DemoRun(
            DemoDeployment deployment,
            int seconds,
            CountDownLatch stop,
            Consumer<String> progress) {
        mDeployment = deployment;
        mSeconds = seconds;
        mStop = stop;
        mProgress = progress;
        mCallers = mCloser.register("callers", new DemoCallers(deployment.urls(), mTally));
    }

    /** Runs everything and checks what must hold. */
    DemoReport run() throws Exception {
        try (mCloser) {
            List<DemoKey> keys =
                    List.of(
                            mDeployment.grant("alba"),
                            mDeployment.grant("bistra"),
                            mDeployment.grant("cerna"));
            DemoKey withdrawn = mDeployment.grant("bistra");
            DemoKey tuning = mDeployment.grant("tuning");
            List<DemoKey> all = new ArrayList<>(keys);
            all.add(withdrawn);
            awaitKeys(all);
            awaitKeys(List.of(tuning));
            DemoTrainers trainers =
                    mCloser.register(
                            "trainers",
                            new DemoTrainers(mDeployment.world(), mDeployment.urls(), tuning));
            mProgress.accept("All instances are ready; traffic starts.");
            CompletableFuture<Void> work = start(trainers, all);
            follow(work, trainers, withdrawn);
            return new DemoReport(mDeployment, mTally, trainers, mProblems);
        }
    }

    private CompletableFuture<Void> start(DemoTrainers trainers, List<DemoKey> keys) {
        Duration length = Duration.ofSeconds(mSeconds);
        Mono<Void> calls =
                Flux.fromIterable(keys)
                        .flatMap(key -> mCallers.run(key, CALL_INTERVAL, length))
                        .then();
        Mono<Void> rollouts = trainers.run(Math.max(MIN_STEPS, mSeconds / SECONDS_PER_STEP));
        return Mono.when(calls, rollouts).toFuture();
    }

    /** Makes the changes at their times, shows progress and waits for the end of the work. */
    private void follow(CompletableFuture<Void> work, DemoTrainers trainers, DemoKey withdrawn)
            throws IOException, InterruptedException {
        long start = System.nanoTime();
        await(work, start, LEAVE_PERCENT, trainers);
        mDeployment.leave("engine-2");
        mProgress.accept("Engine engine-2 leaves.");
        await(work, start, WITHDRAW_PERCENT, trainers);
        long withdrawnNanos = System.nanoTime();
        mTally.withdrawing(withdrawn, withdrawnNanos);
        mDeployment.withdraw(withdrawn);
        mProgress.accept("A key of team bistra is withdrawn.");
        await(work, start, RESTART_PERCENT, trainers);
        mDeployment
                .world()
                .engine("engine-3")
                .restart("engine-3-start-2", trainers.newestVersion());
        mProgress.accept("Engine engine-3 restarts.");
        awaitEnd(work, start, trainers);
        long left = withdrawnNanos + WITHDRAWAL_BOUND.toNanos() - System.nanoTime();
        mStop.await(Math.max(0, left), TimeUnit.NANOSECONDS);
        checkWithdrawn(withdrawn);
    }

    private void await(
            CompletableFuture<Void> work, long startNanos, long percent, DemoTrainers trainers)
            throws InterruptedException {
        waitUntil(work, startNanos + TimeUnit.SECONDS.toNanos(mSeconds) * percent / 100, trainers);
    }

    private void awaitEnd(CompletableFuture<Void> work, long startNanos, DemoTrainers trainers)
            throws InterruptedException {
        waitUntil(
                work, startNanos + TimeUnit.SECONDS.toNanos(mSeconds) + GRACE.toNanos(), trainers);
        if (!work.isDone()) {
            mProblems.add("calls or rollouts did not end in time: " + trainers.answers());
        } else if (work.isCompletedExceptionally()) {
            mProblems.add("calls or rollouts failed");
        }
    }

    private void waitUntil(CompletableFuture<Void> work, long endNanos, DemoTrainers trainers)
            throws InterruptedException {
        long nextProgress = System.nanoTime() + TimeUnit.SECONDS.toNanos(PROGRESS_SECONDS);
        while (System.nanoTime() < endNanos && !work.isDone()) {
            if (mStop.await(POLL_MILLIS, TimeUnit.MILLISECONDS)) {
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
        mProgress.accept(
                "samples %d/%d, weights %d, live answers %d, plain answers %d, refused %d"
                        .formatted(
                                delivered,
                                trainers.submitted(),
                                trainers.newestVersion(),
                                mTally.liveCompleted(),
                                mTally.plainCompleted(),
                                mTally.refusedCalls()));
    }

    /** Waits until every instance knows every key. */
    private void awaitKeys(List<DemoKey> keys) throws InterruptedException {
        long end = System.nanoTime() + KEYS_BOUND.toNanos();
        for (DemoKey key : keys) {
            for (String url : mDeployment.urls()) {
                while (status(key, url) != OK) {
                    if (System.nanoTime() > end
                            || mStop.await(POLL_MILLIS, TimeUnit.MILLISECONDS)) {
                        throw new IllegalStateException("a granted key is refused at " + url);
                    }
                }
            }
        }
    }

    private void checkWithdrawn(DemoKey key) {
        for (String url : mDeployment.urls()) {
            int status = status(key, url);
            if (status != UNAUTHENTICATED) {
                mProblems.add("a withdrawn key is answered with " + status + " after 5 s");
            }
        }
    }

    private int status(DemoKey key, String url) {
        return mCallers.probe(key, url).blockOptional().orElse(0);
    }
}
