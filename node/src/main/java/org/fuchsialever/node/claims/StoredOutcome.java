package org.fuchsialever.node.claims;

import io.vavr.control.Option;
import java.util.List;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.frontend.HeaderField;

/**
 * The final outcome of a claimed call.
 *
 * @param refusal the reason of a refusal, or none if an upstream responded
 * @param status the HTTP status of the upstream's response; 0 for a refusal
 * @param headers the header fields of the upstream's response
 * @param body the body, if it fits in the claim row
 * @param objectName the name of the object that holds the body, if it is too large for the row; a
 *     body that is too large for both is not stored
 */
record StoredOutcome(
        Option<RefusalReason> refusal,
        int status,
        List<HeaderField> headers,
        Option<byte[]> body,
        Option<String> objectName) {

    static StoredOutcome ofRefusal(RefusalReason reason) {
        return new StoredOutcome(Option.some(reason), 0, List.of(), Option.none(), Option.none());
    }
}
