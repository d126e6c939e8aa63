package org.fuchsialever.decisions.callers;

/**
 * Bounds on connections of callers.
 *
 * @param connections how many may be open
 * @param headNanos time for a head from its first byte
 * @param unreadNanos time for which a caller may take nothing of a response
 * @param unreadGraceNanos the same while room is short
 */
public record CallerLimits(
        int connections, long headNanos, long unreadNanos, long unreadGraceNanos) {}
