package org.fuchsialever.node.keys;

import org.fuchsialever.decisions.model.KeyId;

/**
 * The running calls of each key, so that a withdrawal can end them. Register a call after its
 * caller was authenticated and before it is dispatched.
 */
public interface RunningCalls {

    /**
     * Registers a running call.
     *
     * @param key the key that the caller presented
     * @param end ends the call; run at most once, on the thread of the key duty, and must not
     *     block. Run immediately on the calling thread if the key is no longer valid, which covers
     *     a withdrawal between the check of the key and this registration
     * @return a handle that removes the registration; close it when the call has ended. Its {@code
     *     close} throws nothing and may be called more than once
     */
    AutoCloseable register(KeyId key, Runnable end);
}
