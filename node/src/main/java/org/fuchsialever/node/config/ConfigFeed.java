package org.fuchsialever.node.config;

/** Takes what peers say about the configuration. */
public interface ConfigFeed {

    /** Reports the configuration version that the heartbeat of a peer names. */
    void onPeerVersion(long version);
}
