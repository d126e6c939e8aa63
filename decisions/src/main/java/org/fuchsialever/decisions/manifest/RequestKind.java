package org.fuchsialever.decisions.manifest;

/** How the calls of a route may be repeated. */
public enum RequestKind {
    /** May run any number of times. */
    SAFE {
        @Override
        public boolean isIdempotent(boolean resumable) {
            return true;
        }
    },
    /** Runs at most once. */
    UNSAFE {
        @Override
        public boolean isIdempotent(boolean resumable) {
            return false;
        }
    },
    /** Answers with events; may be repeated only where it can be resumed. */
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
    /** Takes batch submissions, whose items may run any number of times. */
    ROLLOUT {
        @Override
        public boolean isIdempotent(boolean resumable) {
            return true;
        }
    };

    /** Returns whether a call that may have run may be sent again. */
    public abstract boolean isIdempotent(boolean resumable);

    /** Returns whether answers are passed on while they arrive. */
    public boolean isStreamed() {
        return false;
    }
}
