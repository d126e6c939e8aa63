package org.fuchsialever.decisions.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.fuchsialever.decisions.batch.BatchEvent.OpenedBatch;
import org.fuchsialever.decisions.batch.BatchEvent.VersionedState;
import org.fuchsialever.decisions.manifest.ForwardRoute;
import org.fuchsialever.decisions.manifest.Manifest;
import org.fuchsialever.decisions.manifest.RequestKind;
import org.fuchsialever.decisions.manifest.RequestLimits;
import org.fuchsialever.decisions.manifest.ServiceShare;
import org.junit.jupiter.api.Test;

/** A submission that was accepted under a newer manifest than its owner has read. */
class UnknownRouteTest {
    private static final String NEW = "/new/";
    private static final LoadedBatch LOADED =
            new LoadedBatch(
                    state(2),
                    10,
                    new BatchSpec(
                            "b",
                            "m",
                            1,
                            5,
                            1,
                            List.of(
                                    new BatchItem(
                                            "x",
                                            "g",
                                            NEW + "x",
                                            Map.of(),
                                            new byte[0],
                                            10,
                                            5,
                                            Option.none()))),
                    Set.of(),
                    Map.of());

    private final BatchDuty mDuty = new BatchDuty("i1", "s1", new SplittableRandom(1));
    private final List<BatchAction> mActions = new ArrayList<>();

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
        event(new BatchEvent.StatesChanged(List.of(), List.of("b")), 110);
        read(manifest(3, NEW), 120);
        assertThat(openings(), is(empty()));
    }

    /** Guards against two instances that generate the same texts. */
    @Test
    void isNotStartedAfterAnotherInstanceHasTakenItOver() {
        VersionedState takenOver = new VersionedState(state(3).withOwner("i2", "s2"), 20);
        event(new BatchEvent.StatesChanged(List.of(takenOver), List.of()), 100);
        event(
                new BatchEvent.Opened(
                        new OpenedBatch(
                                LOADED.state(),
                                LOADED.version(),
                                LOADED.spec(),
                                Set.of(),
                                0,
                                Long.MAX_VALUE,
                                false,
                                Map.of())),
                110);
        assertThat(mActions, is(empty()));
    }

    private void routeMissing(long now) {
        event(new BatchEvent.RouteMissing(LOADED), now);
    }

    private void read(Manifest manifest, long asOf) {
        event(new BatchEvent.ManifestRead(manifest, asOf), asOf + 20);
    }

    private void event(BatchEvent event, long now) {
        mDuty.onEvent(event, now, mActions::add);
    }

    private List<LoadedBatch> openings() {
        return mActions.stream()
                .filter(BatchAction.Open.class::isInstance)
                .map(action -> ((BatchAction.Open) action).batch())
                .toList();
    }

    private static BatchState state(long epoch) {
        BatchContent content = new BatchContent("m", 1, 0, 0);
        return new BatchState(
                "b", "team", "h", NEW + "b", 1, 0, 0, "i1", "s1", epoch, false, content);
    }

    private static Manifest manifest(long version, String... prefixes) {
        return new Manifest(
                version,
                Stream.of(prefixes).map(UnknownRouteTest::route).toList(),
                List.of(),
                List.of(),
                new RequestLimits(1, 1, 1, 1));
    }

    private static ForwardRoute route(String prefix) {
        return new ForwardRoute(
                "r" + prefix,
                "h",
                prefix,
                RequestKind.ROLLOUT,
                List.of(new ServiceShare("s", 1)),
                1,
                1,
                0,
                1,
                true,
                false,
                false,
                7_500,
                40_000);
    }
}
