package org.fuchsialever.soak;

import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends safe and unsafe calls to the instances in turn. */
final class LiveCallers {
    private final SoakWorld world;
    private final Caller caller;
    private final SplittableRandom random;
    private final AtomicInteger underWay = new AtomicInteger();
    private int sent;

    LiveCallers(SoakWorld world, Caller caller, SplittableRandom random) {
        this.world = world;
        this.caller = caller;
        this.random = random;
    }

    /** Sends one call. */
    void send() {
        boolean safe = random.nextBoolean();
        InstanceProgram instance = world.instances().get(random.nextInt(world.instances().size()));
        String id = (safe ? "safe-" : "unsafe-") + sent++;
        long begin = System.nanoTime();
        underWay.incrementAndGet();
        caller.call(instance, safe ? "GET" : "POST", safe ? "/safe/x" : "/unsafe/x", id, "")
                .doFinally(signal -> underWay.decrementAndGet())
                .subscribe(
                        answer ->
                                world.record()
                                        .liveCall(
                                                new SoakRecord.LiveCall(
                                                        id,
                                                        instance.name(),
                                                        safe,
                                                        begin,
                                                        System.nanoTime(),
                                                        answer.status(),
                                                        answer.headers()
                                                                .getOrDefault("Response-Stamp", ""),
                                                        answer.body())));
    }

    boolean isIdle() {
        return underWay.get() == 0;
    }
}
