package org.fuchsialever.decisions.batch;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fuchsialever.decisions.manifest.Manifest;
import org.fuchsialever.kernel.duty.ActionSink;

/**
 * Submissions whose route was not in the manifest that was known when they were loaded. Another
 * instance may have accepted them under a newer one.
 */
final class AwaitedRoutes {
    private final Map<String, Awaited> mAwaited = new HashMap<>();
    private Option<Manifest> mManifest = Option.none();
    private long mManifestAsOf;

    /** Opens a submission once its route is known; the manifest may have been read meanwhile. */
    void missing(LoadedBatch batch, long now, ActionSink<BatchAction> actions) {
        Awaited awaited = new Awaited(batch, now);
        if (mManifest.exists(manifest -> awaited.isDecidedBy(manifest, mManifestAsOf))) {
            actions.emit(new BatchAction.Open(batch));
        } else {
            mAwaited.put(batch.state().id(), awaited);
        }
    }

    /** Opens the submissions that a read of the manifest decides about. */
    void manifestRead(Manifest manifest, long asOfNanos, ActionSink<BatchAction> actions) {
        mManifest = Option.some(manifest);
        mManifestAsOf = asOfNanos;
        for (Awaited awaited : List.copyOf(mAwaited.values())) {
            if (awaited.isDecidedBy(manifest, asOfNanos)) {
                mAwaited.remove(awaited.batch.state().id());
                actions.emit(new BatchAction.Open(awaited.batch));
            }
        }
    }

    /** Forgets a submission. */
    void remove(String id) {
        mAwaited.remove(id);
    }

    private record Awaited(LoadedBatch batch, long sinceNanos) {

        /** Returns whether the route is known now, or known to have ended. */
        boolean isDecidedBy(Manifest manifest, long asOfNanos) {
            BatchState state = batch.state();
            return asOfNanos >= sinceNanos
                    || manifest.route(state.host(), state.path()).isDefined();
        }
    }
}
