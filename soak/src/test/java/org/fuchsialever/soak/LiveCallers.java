package org.fuchsialever.soak;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.fuchsialever.platform.CallerStandIn;
import org.fuchsialever.platform.Payload;
import org.fuchsialever.platform.UpstreamStandIn;

/** Sends calls of all kinds to the instances in turn. */
final class LiveCallers {
    /** Plain calls are more frequent than streams. */
    private static final List<LiveRoute> ROUTES =
            List.of(
                    LiveRoute.SAFE,
                    LiveRoute.SAFE,
                    LiveRoute.UNSAFE,
                    LiveRoute.UNSAFE,
                    LiveRoute.STREAM,
                    LiveRoute.RESUMABLE);

    private static final int USUAL_PADDING = 100_000;

    /** A body of the maximum size comes once in so many calls. */
    private static final int LARGEST_BODY_IN = 400;

    private final SoakWorld mWorld;
    private final Caller mCaller;
    private final SplittableRandom mRandom;
    private final SoakScale mScale;
    private final AtomicInteger mUnderWay = new AtomicInteger();
    private int mSent;

    LiveCallers(SoakWorld world, Caller caller, SplittableRandom random, SoakScale scale) {
        mWorld = world;
        mCaller = caller;
        mRandom = random;
        mScale = scale;
    }

    /** Sends some calls at once. */
    void send() {
        for (int calls = mScale.burst(mRandom); calls > 0; calls--) {
            LiveRoute route = ROUTES.get(mRandom.nextInt(ROUTES.size()));
            sendOne(route, route.callId(mSent++));
        }
    }

    private void sendOne(LiveRoute route, String id) {
        InstanceProgram instance =
                mWorld.instances().get(mRandom.nextInt(mWorld.instances().size()));
        String body = route == LiveRoute.SAFE ? "" : body(id);
        long begin = System.nanoTime();
        mUnderWay.incrementAndGet();
        mCaller.call(instance, route.method(), route.path(), id, body, route.fields())
                .map(answer -> ended(route, id, instance, body, begin, answer))
                .doFinally(signal -> mUnderWay.decrementAndGet())
                .subscribe(mWorld.record()::liveCall);
    }

    private String body(String id) {
        return mRandom.nextInt(LARGEST_BODY_IN) == 0
                ? Payload.ofLength(id, SoakWorld.MAX_BODY_BYTES)
                : Payload.of(id, USUAL_PADDING);
    }

    private static SoakRecord.LiveCall ended(
            LiveRoute route,
            String id,
            InstanceProgram instance,
            String body,
            long begin,
            CallerStandIn.Response answer) {
        return new SoakRecord.LiveCall(
                id,
                instance.name(),
                route,
                body,
                begin,
                System.nanoTime(),
                answer.status(),
                answer.headers().getOrDefault("Response-Stamp", ""),
                answer.body(),
                answer.headers().getOrDefault(UpstreamStandIn.LIFETIME, ""));
    }

    boolean isIdle() {
        return mUnderWay.get() == 0;
    }
}
