package org.fuchsialever.soak;

/** How a link treats bytes. A direction that has dropped bytes stays silent until it is closed. */
enum LinkState {
    /** Passes bytes on. */
    SOUND,
    /** Passes bytes on after a delay. */
    DELAYED {
        @Override
        long delayMillis() {
            return DELAY_MILLIS;
        }
    },
    /** Drops the bytes of the caller. */
    LOSES_REQUESTS {
        @Override
        boolean passesRequests() {
            return false;
        }
    },
    /** Drops the bytes of the server. */
    LOSES_ANSWERS {
        @Override
        boolean passesAnswers() {
            return false;
        }
    },
    /** Drops all bytes. */
    SILENT {
        @Override
        boolean passesRequests() {
            return false;
        }

        @Override
        boolean passesAnswers() {
            return false;
        }
    },
    /** Resets connections. */
    RESETTING {
        @Override
        boolean resets() {
            return true;
        }
    };

    /** Longer than the pauses between the events of a stream, shorter than any time limit. */
    private static final long DELAY_MILLIS = 120;

    long delayMillis() {
        return 0;
    }

    boolean passesRequests() {
        return true;
    }

    boolean passesAnswers() {
        return true;
    }

    boolean resets() {
        return false;
    }
}
