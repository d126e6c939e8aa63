package org.fuchsialever.node.forward;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.fuchsialever.decisions.fleet.FleetUpstream;
import org.fuchsialever.decisions.fleet.LoadHint;
import org.fuchsialever.decisions.version.EnginePaces;
import org.fuchsialever.decisions.version.EngineReport;
import org.fuchsialever.kernel.time.TimeSource;

/**
 * What the calls of this instance show of upstreams: which services have upstreams that report
 * their slowdown, and in these the speeds of engines.
 */
public final class EngineReports {
    private final TimeSource mTime;
    private final EnginePaces mPaces = new EnginePaces();
    private final Set<String> mServices = ConcurrentHashMap.newKeySet();
    private final List<Consumer<String>> mListeners = new CopyOnWriteArrayList<>();

    EngineReports(TimeSource time) {
        mTime = time;
    }

    /** Takes note of the load that an upstream of a service has reported. */
    void noteLoad(String service, LoadHint load) {
        if (load.slowdown().isDefined()) {
            noteReporting(service);
        }
    }

    /** Takes note of the pace of a call. */
    void notePace(FleetUpstream upstream, String model, long nanosPerEvent) {
        if (!model.isEmpty() && mServices.contains(upstream.service())) {
            mPaces.observe(model, upstream.id(), nanosPerEvent, mTime.nanoTime());
        }
    }

    /** Takes note of a service whose upstreams report their slowdown. */
    public void noteReporting(String service) {
        if (mServices.add(service)) {
            mListeners.forEach(listener -> listener.accept(service));
        }
    }

    /** Returns what other instances should know. */
    public EngineReport report() {
        return mServices.isEmpty()
                ? EngineReport.NONE
                : new EngineReport(mServices, mPaces.speedPercents(mTime.nanoTime()));
    }

    /** Adds a listener that is called with each service whose upstreams report their slowdown. */
    public void addListener(Consumer<String> listener) {
        mListeners.add(listener);
        mServices.forEach(listener);
    }
}
