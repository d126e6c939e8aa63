package org.fuchsialever.cli.demo;

/**
 * A call that a caller makes.
 *
 * @param kind its kind
 * @param name a name that no other call has, except one that repeats this call
 * @param key the key that the caller presents
 * @param url the address of the instance
 * @param sentNanos when it is sent
 */
record DemoCall(CallKind kind, String name, DemoKey key, String url, long sentNanos) {

    /** Returns the path of the call. */
    String path() {
        return kind.path(name);
    }
}
