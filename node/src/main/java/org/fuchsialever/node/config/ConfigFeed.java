package org.fuchsialever.node.config;

/** Receives configuration versions from peers. */
public interface ConfigFeed {

    /** Reports the configuration version in a heartbeat of a peer. */
    void onPeerVersion(long version);
}
