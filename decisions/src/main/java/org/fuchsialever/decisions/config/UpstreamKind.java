package org.fuchsialever.decisions.config;

/** Kind of service that an upstream offers. */
public enum UpstreamKind {
    /** A model engine. */
    ENGINE,
    /** Any other HTTP service. */
    PLAIN
}
