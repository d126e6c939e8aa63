package org.fuchsialever.services.http;

import java.util.Locale;
import org.fuchsialever.services.PlatformException.Effect;

/** Why a call to the platform failed and whether a change may have taken effect. */
enum CallFailure {
    /** The interface has no address in the settings. */
    NOT_CONFIGURED(Effect.NONE),
    /** No byte of the request was written. */
    NOT_WRITTEN(Effect.NONE),
    /** The caller no longer held its role when the connection was open. */
    NOT_HOLDING(Effect.NONE),
    /** The platform refused the request. */
    REFUSED(Effect.NONE),
    /** The platform's response does not conform to the protocol. */
    UNEXPECTED_ANSWER(Effect.UNKNOWN),
    /** No response arrived within the timeout after the request was written. */
    TIMEOUT(Effect.UNKNOWN),
    /** The connection was lost after the request was written. */
    CONNECTION_LOST(Effect.UNKNOWN);

    private final Effect mEffectOfChange;

    CallFailure(Effect effectOfChange) {
        mEffectOfChange = effectOfChange;
    }

    /** Returns whether a change may have taken effect if its call failed in this way. */
    Effect effectOfChange() {
        return mEffectOfChange;
    }

    /** Returns the tag used in metrics. */
    String metricName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
