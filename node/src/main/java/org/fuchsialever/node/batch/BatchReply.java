package org.fuchsialever.node.batch;

import java.util.List;
import org.fuchsialever.decisions.batch.ItemResult;

/** Answer to a call about a submission. */
public sealed interface BatchReply {

    /** The submission is kept and will run. */
    record Accepted() implements BatchReply {}

    /** The submission cannot be read. */
    record Malformed(String problem) implements BatchReply {}

    /** Another submission has this identity. */
    record IdentityTaken() implements BatchReply {}

    /** Nothing of the submission runs; another try is worthwhile after a time. */
    record NotAccepted(String reason, long retryAfterMillis) implements BatchReply {}

    /** It could not be found out whether a change took effect. */
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
