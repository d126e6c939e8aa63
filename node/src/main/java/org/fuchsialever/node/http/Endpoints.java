package org.fuchsialever.node.http;

import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.frontend.Endpoint;

/** HTTP endpoints that components add while they are installed. */
public final class Endpoints {
    private final List<Endpoint> mEndpoints = new ArrayList<>();

    /** Adds an endpoint, which takes precedence over the route table. */
    public synchronized void add(Endpoint endpoint) {
        mEndpoints.add(endpoint);
    }

    /** Returns all endpoints in the order in which they were added. */
    public synchronized List<Endpoint> all() {
        return List.copyOf(mEndpoints);
    }
}
