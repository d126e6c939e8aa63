package org.fuchsialever.soak;

import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsialever.platform.UpstreamStandIn;

/** Sends safe and unsafe calls to the instances in turn. */
final class LiveCallers {
    private final SoakWorld mWorld;
    private final Caller mCaller;
    private final SplittableRandom mRandom;
    private final AtomicInteger mUnderWay = new AtomicInteger();
    private int mSent;

    LiveCallers(SoakWorld world, Caller caller, SplittableRandom random) {
        mWorld = world;
        mCaller = caller;
        mRandom = random;
    }

    /** Sends one call. */
    void send() {
        boolean safe = mRandom.nextBoolean();
        InstanceProgram instance =
                mWorld.instances().get(mRandom.nextInt(mWorld.instances().size()));
        String id = (safe ? "safe-" : "unsafe-") + mSent++;
        long begin = System.nanoTime();
        mUnderWay.incrementAndGet();
        mCaller.call(instance, safe ? "GET" : "POST", safe ? "/safe/x" : "/unsafe/x", id, "")
                .doFinally(signal -> mUnderWay.decrementAndGet())
                .subscribe(
                        answer ->
                                mWorld.record()
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
                                                        answer.body(),
                                                        answer.headers()
                                                                .getOrDefault(
                                                                        UpstreamStandIn.LIFETIME,
                                                                        ""))));
    }

    boolean isIdle() {
        return mUnderWay.get() == 0;
    }
}
