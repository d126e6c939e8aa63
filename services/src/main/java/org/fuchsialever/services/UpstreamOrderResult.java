package org.fuchsialever.services;

/** Answer of the ordering interface. */
public enum UpstreamOrderResult {
    /** The order is being carried out. */
    ACCEPTED,
    /** An upstream of this name has been ordered before. */
    NAME_USED,
    /** The platform has no capacity of this kind in this failure domain now. */
    CAPACITY_UNAVAILABLE
}
