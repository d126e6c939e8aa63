package org.fuchsialever.services.exchange;

import java.util.HashSet;
import java.util.Set;

/**
 * The requests that a connection has carried. A server may send a response twice, the second time
 * late, so a response tells requests apart only if no two requests of the connection have one ID.
 */
final class CarriedRequests {
    /** Bounds the memory of a connection; a full one is replaced. */
    static final int MAX_REQUESTS = 1_024;

    /** Hash codes, since callers choose the length of IDs; a collision costs a connection. */
    private final Set<Integer> mIds = new HashSet<>();

    private boolean mAmbiguous;

    /** Adds a request that is sent on the connection. */
    void add(String id) {
        mIds.add(id.hashCode());
    }

    /** Notes how the response to the newest request was matched. */
    void noteResponse(ResponseMatch match) {
        mAmbiguous |= !match.identifiesRequest();
    }

    /** Returns whether no earlier request of the connection can have the ID. */
    boolean mayAdd(String id) {
        return !mIds.contains(id.hashCode());
    }

    /** Returns whether the connection may carry further requests. */
    boolean mayContinue() {
        return !mAmbiguous && mIds.size() < MAX_REQUESTS;
    }

    /** Returns the number of requests. */
    int count() {
        return mIds.size();
    }
}
