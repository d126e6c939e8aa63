package org.fuchsialever.decisions.audit;

import io.vavr.control.Option;
import org.fuchsialever.decisions.dispatch.Outcome;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.RequestId;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.TeamName;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.model.WeightVersion;

/** Event in the audit record. Records contain neither secrets of keys nor text of prompts. */
public sealed interface AuditRecord {

    /** Returns the team that the record concerns, or none if it concerns no single team. */
    default Option<TeamName> team() {
        return Option.none();
    }

    /** A request ended. */
    record RequestEnded(
            RequestId request,
            Option<TeamName> team,
            RouteName route,
            Option<UpstreamId> upstream,
            int attempts,
            Option<KeyId> key,
            Outcome outcome)
            implements AuditRecord {}

    /** A request was refused; {@code reason} is the code of the reason. */
    record RequestRefused(
            RequestId request,
            Option<TeamName> team,
            RouteName route,
            Option<KeyId> key,
            String reason)
            implements AuditRecord {}

    /** A key was granted to a team. */
    record KeyGranted(KeyId key, Option<TeamName> team) implements AuditRecord {}

    /** A key was withdrawn. */
    record KeyWithdrawn(KeyId key, Option<TeamName> team) implements AuditRecord {}

    /** This instance put a configuration version in force. */
    record ConfigurationChanged(long version) implements AuditRecord {}

    /** An order was sent to the ordering interface. */
    record UpstreamOrdered(
            String order, String action, UpstreamId upstream, PoolName pool, long fencing)
            implements AuditRecord {}

    /** An upstream was told to load a weight version. */
    record WeightsOrdered(UpstreamId upstream, WeightVersion version, long fencing)
            implements AuditRecord {}

    /** A usage report was accepted. */
    record UsageReported(String window, String reportHash, long fencing) implements AuditRecord {}

    /** Records were dropped because the buffer of this instance was full. */
    record RecordsLost(long count) implements AuditRecord {}

    /** Encodes a record as one line of text. */
    @FunctionalInterface
    interface Encoder {

        /**
         * Returns one line without a line break.
         *
         * @param wallMillis wall-clock time of the record
         */
        String encode(long wallMillis, AuditRecord record);
    }
}
