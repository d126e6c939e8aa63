package org.fuchsialever.node.watch;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.fuchsialever.decisions.dispatch.LoadReport;
import org.fuchsialever.decisions.model.UpstreamId;

/** Passes load reports on to other components of this instance. */
public final class LoadReportListeners {
    private final List<Listener> listeners = new CopyOnWriteArrayList<>();

    /** Adds a listener; it is called on an event loop and must not block. */
    public void add(Listener listener) {
        listeners.add(listener);
    }

    void notifyListeners(UpstreamId upstream, LoadReport report) {
        listeners.forEach(listener -> listener.onLoadReport(upstream, report));
    }

    /** Learns of load reports. */
    @FunctionalInterface
    public interface Listener {

        /** An upstream reported its load. */
        void onLoadReport(UpstreamId upstream, LoadReport report);
    }
}
