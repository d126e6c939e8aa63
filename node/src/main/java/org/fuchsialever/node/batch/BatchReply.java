package org.fuchsialever.node.batch;

import java.util.List;
import org.fuchsialever.decisions.batch.ItemResult;

/** Result of a call about a submission. */
public sealed interface BatchReply {

    /** The submission is stored and will run. */
    record Accepted() implements BatchReply {}

    /** The submission cannot be parsed. */
    record Malformed(String problem) implements BatchReply {}

    /** Another submission has this ID. */
    record IdentityTaken() implements BatchReply {}

    /** The call had no effect; the caller may retry after the given time. */
    record NotAccepted(String reason, long retryAfterMillis) implements BatchReply {}

    /** It is unknown whether a change took effect. */
    record EffectUnknown(String reason) implements BatchReply {}

    /** There is no such submission or item. */
    record NotFound() implements BatchReply {}

    /** Results from a position on. */
    record Results(int total, List<ItemResult> results, int next) implements BatchReply {}

    /** The body of an item. */
    record ItemBody(byte[] body) implements BatchReply {}

    /** The submission has ended. */
    record Ended() implements BatchReply {}
}
