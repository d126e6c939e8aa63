package org.fuchsialever.services.exchange;

/** Learns of responses, or parts of one, that arrive while no request waits on a connection. */
@FunctionalInterface
public interface IdleBytesListener {

    /** Handles bytes for which the connection to an address was closed, in the event loop. */
    void onIdleBytes(String address, ConnectionUse use);
}
