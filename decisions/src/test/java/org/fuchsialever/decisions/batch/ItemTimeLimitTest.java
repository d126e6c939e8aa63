package org.fuchsialever.decisions.batch;

import static org.fuchsialever.decisions.batch.BatchDutyRun.SECOND;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.stream.LongStream;
import org.fuchsialever.decisions.manifest.ForwardRoute;
import org.fuchsialever.decisions.manifest.Manifest;
import org.fuchsialever.decisions.manifest.SampleManifests;
import org.junit.jupiter.api.Test;

/** How long an item may take, counted from its submission. */
class ItemTimeLimitTest {
    private final BatchDutyRun mRun = new BatchDutyRun();

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

    private void open(long limitSeconds) {
        mRun.open(BatchDutyRun.state("b", "i1", 0, 0), limitSeconds * SECOND);
    }

    private void read(Manifest manifest) {
        mRun.event(new BatchEvent.ManifestRead(manifest, mRun.now()));
    }

    private void advance(long nanos) {
        mRun.advance(nanos);
    }

    private boolean isGivenUp() {
        return !mRun.all(BatchAction.Stop.class).isEmpty();
    }

    /** Returns a manifest with a route for each limit. */
    private static Manifest manifest(long version, long... limitSeconds) {
        return SampleManifests.of(
                version,
                LongStream.of(limitSeconds)
                        .mapToObj(limit -> SampleManifests.rollout("/p/", limit * 1_000))
                        .toArray(ForwardRoute[]::new));
    }
}
