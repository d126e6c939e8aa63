package org.fuchsialever.services.http;

import java.util.Locale;
import org.fuchsialever.services.PlatformException.Effect;

/** Why a call to the platform failed, with what this says about a change. */
enum CallFailure {
    /** The interface has no address in the settings. */
    NOT_CONFIGURED(Effect.NONE),
    /** No byte of the request was written. */
    NOT_WRITTEN(Effect.NONE),
    /** The caller said, after the connection was open, that the request must not be sent. */
    NOT_HOLDING(Effect.NONE),
    /** The platform answered that it refused the request. */
    REFUSED(Effect.NONE),
    /** The platform answered something that the protocol does not name. */
    UNEXPECTED_ANSWER(Effect.UNKNOWN),
    /** No answer arrived in time after the request was written. */
    TIMEOUT(Effect.UNKNOWN),
    /** The connection was lost after the request was written. */
    CONNECTION_LOST(Effect.UNKNOWN);

    private final Effect effectOfChange;

    CallFailure(Effect effectOfChange) {
        this.effectOfChange = effectOfChange;
    }

    /** Returns what is known about a change whose call failed in this way. */
    Effect effectOfChange() {
        return effectOfChange;
    }

    /** Returns the tag used in metrics. */
    String metricName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
