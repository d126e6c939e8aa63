package org.fuchsialever.decisions.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.fuchsialever.decisions.batch.BatchEvent.OpenedBatch;
import org.fuchsialever.decisions.manifest.ForwardRoute;
import org.fuchsialever.decisions.manifest.Manifest;
import org.fuchsialever.decisions.manifest.RequestKind;
import org.fuchsialever.decisions.manifest.RequestLimits;
import org.fuchsialever.decisions.manifest.ServiceShare;
import org.fuchsialever.decisions.queue.StepOrder;
import org.junit.jupiter.api.Test;

/** How long an item may take, counted from its submission. */
class ItemTimeLimitTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long DUE_MILLIS = 7_500;

    private final BatchDuty mDuty = new BatchDuty("i1", "s1", new SplittableRandom(1));
    private final List<BatchAction> mActions = new ArrayList<>();
    private long mNow;

    /** Guards against items that are given up by a limit that is no longer in force. */
    @Test
    void isThatOfTheManifestInForceAfterItWasRaised() {
        open(12);
        read(manifest(3, 60));
        advance(59 * SECOND);
        read(manifest(3, 60));
        advance(SECOND - 1);
        assertThat(isGivenUp(), is(false));
        advance(SECOND);
        read(manifest(3, 60));
        advance(SECOND);
        assertThat(isGivenUp(), is(true));
    }

    @Test
    void isThatOfTheManifestInForceAfterItWasLowered() {
        open(40);
        read(manifest(3, 12));
        advance(13 * SECOND);
        read(manifest(3, 12));
        advance(SECOND);
        assertThat(isGivenUp(), is(true));
    }

    /** Guards against items that are given up while the read of a newer manifest hangs. */
    @Test
    void isNotOverBeforeTheManifestWasReadAgain() {
        open(12);
        read(manifest(2, 12));
        advance(20 * SECOND);
        assertThat(isGivenUp(), is(false));
        read(manifest(3, 60));
        advance(20 * SECOND);
        assertThat(isGivenUp(), is(false));
    }

    /** Guards against a manifest that is read while a submission is loaded under the one before. */
    @Test
    void isThatOfAManifestThatWasReadBeforeTheSubmissionWasLoaded() {
        read(manifest(3, 60));
        open(12);
        advance(20 * SECOND);
        read(manifest(3, 60));
        advance(SECOND);
        assertThat(isGivenUp(), is(false));
    }

    @Test
    void isTheLastOneOfARouteThatHasEnded() {
        open(12);
        read(manifest(3));
        advance(13 * SECOND);
        read(manifest(3));
        advance(SECOND);
        assertThat(isGivenUp(), is(true));
    }

    @Test
    void isNoneOnARouteWithoutOne() {
        open(12);
        read(manifest(3, 0));
        advance(100 * SECOND);
        read(manifest(3, 0));
        advance(SECOND);
        assertThat(isGivenUp(), is(false));
    }

    /** Opens a submission that was accepted just now. */
    private void open(long limitSeconds) {
        BatchState state =
                new BatchState(
                        "b",
                        "team",
                        "h",
                        "/p/b",
                        1,
                        0,
                        0,
                        "i1",
                        "s1",
                        1,
                        false,
                        new BatchContent("m", 1, 0, 0));
        BatchItem item =
                new BatchItem("x", "g", "/p/x", Map.of(), new byte[0], 10, 5, Option.none());
        event(
                new BatchEvent.Opened(
                        new OpenedBatch(
                                state,
                                10,
                                new BatchSpec("b", "m", 1, 5, 1, List.of(item)),
                                Set.of(),
                                DUE_MILLIS,
                                mNow + limitSeconds * SECOND,
                                false,
                                Map.of(),
                                StepOrder.LONGEST_FIRST,
                                0,
                                mNow + TimeUnit.MILLISECONDS.toNanos(DUE_MILLIS))));
    }

    private void read(Manifest manifest) {
        event(new BatchEvent.ManifestRead(manifest, mNow));
    }

    private void event(BatchEvent event) {
        mDuty.onEvent(event, mNow, mActions::add);
    }

    private void advance(long nanos) {
        long end = mNow + nanos;
        while (mDuty.nextTimerNanos() <= end) {
            mNow = Math.max(mNow, mDuty.nextTimerNanos());
            mDuty.onTimer(mNow, mActions::add);
        }
        mNow = end;
    }

    private boolean isGivenUp() {
        return mActions.stream().anyMatch(BatchAction.Stop.class::isInstance);
    }

    /** Returns a manifest with a route for each limit. */
    private static Manifest manifest(long version, long... limitSeconds) {
        return new Manifest(
                version,
                LongStream.of(limitSeconds).mapToObj(ItemTimeLimitTest::route).toList(),
                List.of(),
                List.of(),
                new RequestLimits(1, 1, 1, 1));
    }

    private static ForwardRoute route(long limitSeconds) {
        return new ForwardRoute(
                "r",
                "h",
                "/p/",
                RequestKind.ROLLOUT,
                List.of(new ServiceShare("s", 1)),
                1,
                1,
                0,
                1,
                true,
                false,
                false,
                DUE_MILLIS,
                TimeUnit.SECONDS.toMillis(limitSeconds));
    }
}
