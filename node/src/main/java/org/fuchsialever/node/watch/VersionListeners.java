package org.fuchsialever.node.watch;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.fuchsialever.decisions.dispatch.LoadReport;
import org.fuchsialever.decisions.model.UpstreamId;

/** Forwards load reports to other components of this instance. */
public final class VersionListeners {
    private final List<Listener> listeners = new CopyOnWriteArrayList<>();

    /** Adds a listener; it is called on an event loop thread and must not block. */
    public void add(Listener listener) {
        listeners.add(listener);
    }

    void reported(UpstreamId upstream, LoadReport report) {
        listeners.forEach(listener -> listener.reported(upstream, report));
    }

    /** Receives load reports. */
    @FunctionalInterface
    public interface Listener {

        /** Handles a load report of an upstream. */
        void reported(UpstreamId upstream, LoadReport report);
    }
}
