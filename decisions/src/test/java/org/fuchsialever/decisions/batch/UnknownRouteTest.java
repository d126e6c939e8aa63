package org.fuchsialever.decisions.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.fuchsialever.decisions.batch.BatchEvent.VersionedState;
import org.fuchsialever.decisions.manifest.ForwardRoute;
import org.fuchsialever.decisions.manifest.Manifest;
import org.fuchsialever.decisions.manifest.SampleManifests;
import org.junit.jupiter.api.Test;

/** A submission that was accepted under a newer manifest than its owner has read. */
class UnknownRouteTest {
    private static final String NEW = "/p/";
    private static final BatchState STATE = BatchDutyRun.state("b", "i1", 0, 0);
    private static final LoadedBatch LOADED =
            new LoadedBatch(STATE, 10, BatchDutyRun.spec("b"), Set.of(), Map.of());

    private final BatchDutyRun mRun = new BatchDutyRun();

    /** Guards against a whole step that is listed as errored by an owner with an older manifest. */
    @Test
    void isOpenedOnceTheManifestWithItsRouteWasRead() {
        read(manifest(2, "/old/"), 50);
        routeMissing(100);
        assertThat(openings(), is(empty()));
        read(manifest(3, "/old/", NEW), 90);
        assertThat(openings(), is(List.of(LOADED)));
        read(manifest(3, "/old/", NEW), 110);
        assertThat(openings(), hasSize(1));
    }

    @Test
    void isOpenedAtOnceIfItsRouteWasReadWhileItWasLoaded() {
        read(manifest(3, NEW), 50);
        routeMissing(100);
        assertThat(openings(), is(List.of(LOADED)));
    }

    /** Guards against a read whose response was on its way while the submission was accepted. */
    @Test
    void waitsForAReadThatWasSentAfterItWasLoaded() {
        routeMissing(100);
        read(manifest(2, "/old/"), 99);
        assertThat(openings(), is(empty()));
        read(manifest(2, "/old/"), 100);
        assertThat(openings(), is(List.of(LOADED)));
    }

    @Test
    void isForgottenOnceItIsRemoved() {
        routeMissing(100);
        mRun.event(new BatchEvent.StatesChanged(List.of(), List.of("b")));
        read(manifest(3, NEW), 120);
        assertThat(openings(), is(empty()));
    }

    /** Guards against two instances that generate the same texts. */
    @Test
    void isNotStartedAfterAnotherInstanceHasTakenItOver() {
        VersionedState takenOver = new VersionedState(STATE.withOwner("i2", "s2"), 20);
        mRun.event(new BatchEvent.StatesChanged(List.of(takenOver), List.of()));
        mRun.open(STATE, 40 * BatchDutyRun.SECOND);
        assertThat(mRun.actions(), is(empty()));
    }

    private void routeMissing(long now) {
        mRun.advance(now - mRun.now());
        mRun.event(new BatchEvent.RouteMissing(LOADED));
    }

    private void read(Manifest manifest, long asOf) {
        mRun.event(new BatchEvent.ManifestRead(manifest, asOf));
    }

    private List<LoadedBatch> openings() {
        return mRun.all(BatchAction.Open.class).stream().map(BatchAction.Open::batch).toList();
    }

    private static Manifest manifest(long version, String... prefixes) {
        return SampleManifests.of(
                version,
                Stream.of(prefixes)
                        .map(prefix -> SampleManifests.rollout(prefix, 40_000))
                        .toArray(ForwardRoute[]::new));
    }
}
