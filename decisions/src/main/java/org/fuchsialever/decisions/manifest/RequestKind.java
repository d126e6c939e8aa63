package org.fuchsialever.decisions.manifest;

/** How the calls of a route may be repeated. */
public enum RequestKind {
    /** A call may run any number of times. */
    SAFE {
        @Override
        public boolean isIdempotent(boolean resumable) {
            return true;
        }
    },
    /** A call runs at most once. */
    UNSAFE {
        @Override
        public boolean isIdempotent(boolean resumable) {
            return false;
        }
    },
    /** The response is a stream of events; repeated only where it can be resumed. */
    STREAM {
        @Override
        public boolean isIdempotent(boolean resumable) {
            return resumable;
        }

        @Override
        public boolean isStreamed() {
            return true;
        }
    },
    /** A batch submission, whose items may run any number of times. */
    ROLLOUT {
        @Override
        public boolean isIdempotent(boolean resumable) {
            return true;
        }
    };

    /** Returns whether a call may be repeated after an attempt that may have run. */
    public abstract boolean isIdempotent(boolean resumable);

    /** Returns whether responses are passed on as they arrive. */
    public boolean isStreamed() {
        return false;
    }
}
