package org.fuchsialever.decisions.config;

/** What an upstream speaks. */
public enum UpstreamKind {
    /** A model engine. */
    ENGINE,
    /** Any other HTTP service. */
    PLAIN
}
