package org.fuchsialever.services.exchange;

import java.io.IOException;

/** Thrown for a response that HTTP does not allow; what the request has caused is unknown. */
public final class BrokenResponseException extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception that names what was received in place of a status. */
    public BrokenResponseException(String received) {
        super("\"" + received + "\" is not a status");
    }
}
