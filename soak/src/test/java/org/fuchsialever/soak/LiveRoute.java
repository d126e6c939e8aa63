package org.fuchsialever.soak;

import java.util.Map;

/** The routes that live calls take. */
enum LiveRoute {
    /** May run more than once. */
    SAFE(true, Map.of()),
    /** Runs once at most. */
    UNSAFE(false, Map.of()),
    /** A stream that ends when its upstream fails. */
    STREAM(false, Map.of("Model", SoakWorld.MODEL)),
    /** A stream that goes on at another upstream. */
    RESUMABLE(true, Map.of("Model", SoakWorld.MODEL));

    private final boolean mRepeatable;
    private final Map<String, String> mFields;

    LiveRoute(boolean repeatable, Map<String, String> fields) {
        mRepeatable = repeatable;
        mFields = fields;
    }

    boolean isRepeatable() {
        return mRepeatable;
    }

    Map<String, String> fields() {
        return mFields;
    }

    String method() {
        return this == SAFE ? "GET" : "POST";
    }

    String path() {
        return "/" + prefix() + "/x";
    }

    /** Returns the ID of a call. */
    String callId(int number) {
        return prefix() + "-" + number;
    }

    /** Returns whether a call takes this route. */
    boolean carries(String callId) {
        return callId.startsWith(prefix() + "-");
    }

    private String prefix() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
