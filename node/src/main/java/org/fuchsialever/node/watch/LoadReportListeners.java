package org.fuchsialever.node.watch;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.fuchsialever.decisions.dispatch.LoadReport;
import org.fuchsialever.decisions.model.UpstreamId;

/** Forwards load reports to other components of this instance. */
public final class LoadReportListeners {
    private final List<Listener> mListeners = new CopyOnWriteArrayList<>();

    /** Adds a listener; it is called on an event loop thread and must not block. */
    public void add(Listener listener) {
        mListeners.add(listener);
    }

    void notifyListeners(UpstreamId upstream, LoadReport report) {
        mListeners.forEach(listener -> listener.onLoadReport(upstream, report));
    }

    /** Receives load reports. */
    @FunctionalInterface
    public interface Listener {

        /** Handles a load report of an upstream. */
        void onLoadReport(UpstreamId upstream, LoadReport report);
    }
}
