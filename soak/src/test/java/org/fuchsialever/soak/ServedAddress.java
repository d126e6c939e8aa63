package org.fuchsialever.soak;

import java.io.IOException;

/** An address that a deployed instance serves. */
enum ServedAddress {
    /** The port of callers. */
    ENTRY("/safe/x") {
        @Override
        int port(DeployedInstance instance) {
            return instance.port();
        }

        @Override
        String path(CrowdKind kind) {
            return switch (kind) {
                case SENT_AHEAD, SENT_AHEAD_ON_FEW_CONNECTIONS -> DeployedInstance.MEDIUM_RESPONSES;
                default -> super.path(kind);
            };
        }
    },
    /** The port of readiness checks. */
    READINESS("/api/readyz") {
        @Override
        int port(DeployedInstance instance) {
            return instance.readinessPort();
        }
    },
    /** The port of metrics. */
    METRICS("/metrics") {
        @Override
        int port(DeployedInstance instance) {
            return instance.metricsPort();
        }
    };

    private final String mPath;

    ServedAddress(String path) {
        mPath = path;
    }

    /** Returns the TCP port. */
    abstract int port(DeployedInstance instance);

    /** Returns the path of the requests that a crowd sends. */
    String path(CrowdKind kind) {
        return mPath;
    }

    /** Returns whether an ordinary request is answered. */
    boolean serves(DeployedInstance instance) throws IOException {
        try (RawCaller caller = new RawCaller(port(instance))) {
            return caller.head("GET", mPath, "probe", 0).status() == 200;
        }
    }
}
