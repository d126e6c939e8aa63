package org.fuchsialever.services;

/** Result of an order to start or stop an upstream. */
public enum UpstreamOrderResult {
    /** The order is being executed. */
    ACCEPTED,
    /** An upstream of this name has been ordered before. */
    NAME_USED,
    /** The platform has no capacity of this kind in this failure domain now. */
    CAPACITY_UNAVAILABLE
}
