package org.fuchsialever.decisions.config;

/** State of an upstream in the pool table. */
public enum UpstreamState {
    /** Takes new work. */
    SERVING,
    /** Finishes its work and takes no more. */
    LEAVING
}
