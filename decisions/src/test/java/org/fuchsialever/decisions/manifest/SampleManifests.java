package org.fuchsialever.decisions.manifest;

import java.util.List;

/** Manifests for tests, whose routes have the host "h". */
public final class SampleManifests {
    private SampleManifests() {}

    /** Returns a manifest with some routes and no services or teams. */
    public static Manifest of(long version, ForwardRoute... routes) {
        return new Manifest(
                version, List.of(routes), List.of(), List.of(), new RequestLimits(1, 1, 1, 1));
    }

    /**
     * Returns a route for submissions.
     *
     * @param limitMillis how long an item may take, 0 for no limit
     */
    public static ForwardRoute rollout(String prefix, long limitMillis) {
        return route("r" + prefix, prefix, RequestKind.ROLLOUT, limitMillis);
    }

    /** Returns a route to the service "s". */
    static ForwardRoute route(String name, String prefix, RequestKind kind, long limitMillis) {
        return new ForwardRoute(
                name,
                "h",
                prefix,
                kind,
                List.of(new ServiceShare("s", 1)),
                1,
                1,
                0,
                1,
                true,
                false,
                false,
                7_500,
                limitMillis);
    }
}
