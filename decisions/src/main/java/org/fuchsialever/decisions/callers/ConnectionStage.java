package org.fuchsialever.decisions.callers;

import java.util.List;

/** What an open connection waits for. */
public enum ConnectionStage {
    /** The first byte of its first request. */
    SILENT(ClosingReason.SILENT),
    /** The rest of a head. */
    HEAD(ClosingReason.HEAD) {
        @Override
        long limitNanos(CallerLimits limits) {
            return limits.headNanos();
        }
    },
    /** A further request. */
    IDLE(ClosingReason.IDLE),
    /** Its caller, who has yet to take the rest of a response. */
    RESPONSE(ClosingReason.UNREAD) {
        @Override
        long limitNanos(CallerLimits limits) {
            return limits.unreadNanos();
        }

        @Override
        boolean yields(long heldNanos, CallerLimits limits) {
            return heldNanos >= limits.unreadGraceNanos();
        }
    },
    /** The response to a request in progress. */
    CALL(ClosingReason.NONE) {
        @Override
        boolean yields(long heldNanos, CallerLimits limits) {
            return false;
        }
    };

    /** The stages from the one that is closed first for room. */
    static final List<ConnectionStage> CLOSING_ORDER = List.of(SILENT, HEAD, IDLE, RESPONSE);

    /** The stages whose connections time alone closes; the server closes idle ones itself. */
    static final List<ConnectionStage> TIMED = List.of(HEAD, RESPONSE);

    private final ClosingReason mReason;

    ConnectionStage(ClosingReason reason) {
        mReason = reason;
    }

    /** Returns why a connection of this stage is closed. */
    public ClosingReason reason() {
        return mReason;
    }

    /** Returns after which time in this stage a connection is closed. */
    long limitNanos(CallerLimits limits) {
        return Long.MAX_VALUE;
    }

    /** Returns whether a connection may be closed to make room for others. */
    boolean yields(long heldNanos, CallerLimits limits) {
        return true;
    }
}
