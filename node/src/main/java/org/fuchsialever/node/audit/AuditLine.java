package org.fuchsialever.node.audit;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import java.util.Arrays;
import java.util.Locale;
import org.fuchsialever.decisions.audit.AuditRecord;

/** Kinds of audit records and the JSON fields of their lines. */
enum AuditLine {
    REQUEST_ENDED(AuditRecord.RequestEnded.class) {
        @Override
        void putFields(AuditRecord record, ObjectNode line) {
            AuditRecord.RequestEnded ended = (AuditRecord.RequestEnded) record;
            line.put("request", ended.request().value());
            putIfKnown(line, "team", ended.team());
            line.put("route", ended.route().value());
            putIfKnown(line, "upstream", ended.upstream());
            line.put("attempts", ended.attempts());
            putIfKnown(line, "key", ended.key());
            line.put("outcome", ended.outcome().name().toLowerCase(Locale.ROOT));
        }
    },
    REQUEST_REFUSED(AuditRecord.RequestRefused.class) {
        @Override
        void putFields(AuditRecord record, ObjectNode line) {
            AuditRecord.RequestRefused refused = (AuditRecord.RequestRefused) record;
            line.put("request", refused.request().value());
            putIfKnown(line, "team", refused.team());
            line.put("route", refused.route().value());
            putIfKnown(line, "key", refused.key());
            line.put("reason", refused.reason());
        }
    },
    KEY_GRANTED(AuditRecord.KeyGranted.class) {
        @Override
        void putFields(AuditRecord record, ObjectNode line) {
            AuditRecord.KeyGranted granted = (AuditRecord.KeyGranted) record;
            line.put("key", granted.key().value());
            putIfKnown(line, "team", granted.team());
        }
    },
    KEY_WITHDRAWN(AuditRecord.KeyWithdrawn.class) {
        @Override
        void putFields(AuditRecord record, ObjectNode line) {
            AuditRecord.KeyWithdrawn withdrawn = (AuditRecord.KeyWithdrawn) record;
            line.put("key", withdrawn.key().value());
            putIfKnown(line, "team", withdrawn.team());
        }
    },
    CONFIGURATION_CHANGED(AuditRecord.ConfigurationChanged.class) {
        @Override
        void putFields(AuditRecord record, ObjectNode line) {
            line.put("version", ((AuditRecord.ConfigurationChanged) record).version());
        }
    },
    UPSTREAM_ORDERED(AuditRecord.UpstreamOrdered.class) {
        @Override
        void putFields(AuditRecord record, ObjectNode line) {
            AuditRecord.UpstreamOrdered order = (AuditRecord.UpstreamOrdered) record;
            line.put("order", order.order());
            line.put("action", order.action());
            line.put("upstream", order.upstream().value());
            line.put("pool", order.pool().value());
            line.put("fencing", order.fencing());
        }
    },
    WEIGHTS_ORDERED(AuditRecord.WeightsOrdered.class) {
        @Override
        void putFields(AuditRecord record, ObjectNode line) {
            AuditRecord.WeightsOrdered order = (AuditRecord.WeightsOrdered) record;
            line.put("upstream", order.upstream().value());
            line.put("weight_version", order.version().toString());
            line.put("fencing", order.fencing());
        }
    },
    USAGE_REPORTED(AuditRecord.UsageReported.class) {
        @Override
        void putFields(AuditRecord record, ObjectNode line) {
            AuditRecord.UsageReported report = (AuditRecord.UsageReported) record;
            line.put("window", report.window());
            line.put("report_hash", report.reportHash());
            line.put("fencing", report.fencing());
        }
    },
    RECORDS_LOST(AuditRecord.RecordsLost.class) {
        @Override
        void putFields(AuditRecord record, ObjectNode line) {
            line.put("count", ((AuditRecord.RecordsLost) record).count());
        }
    };

    private final Class<? extends AuditRecord> mType;

    AuditLine(Class<? extends AuditRecord> type) {
        mType = type;
    }

    static AuditLine of(AuditRecord record) {
        return Arrays.stream(values())
                .filter(kind -> kind.mType.isInstance(record))
                .findFirst()
                .orElseThrow();
    }

    void put(AuditRecord record, ObjectNode line) {
        line.put("kind", name().toLowerCase(Locale.ROOT));
        putFields(record, line);
    }

    abstract void putFields(AuditRecord record, ObjectNode line);

    private static void putIfKnown(ObjectNode line, String field, Option<?> name) {
        name.forEach(value -> line.put(field, value.toString()));
    }
}
