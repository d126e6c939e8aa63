package org.fuchsialever.cli.audit;

import io.vavr.control.Option;
import java.time.LocalDate;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.fuchsialever.cli.platform.DayOption;
import org.fuchsialever.cli.platform.PlatformSession;
import org.fuchsialever.decisions.audit.AuditCheckpoint;
import org.fuchsialever.node.audit.AuditRows;

/** Reads the stored audit record of a day. */
final class AuditDay {
    private static final int OBJECT_NAME_PARTS = 5;

    private final PlatformSession mSession;
    private final LocalDate mDay;

    AuditDay(PlatformSession session, LocalDate day) {
        mSession = session;
        mDay = day;
    }

    /** Returns the checkpoints of the day by start ID; throws if a row is malformed. */
    Map<String, AuditCheckpoint> checkpoints() {
        return checkpoints(mDay);
    }

    /** Returns the checkpoints of the following day by start ID; throws if a row is malformed. */
    Map<String, AuditCheckpoint> checkpointsOfNextDay() {
        return checkpoints(mDay.plusDays(1));
    }

    /** Returns the content of all batches by start ID and batch number. */
    Map<String, SortedMap<Long, byte[]>> batches() {
        Map<String, SortedMap<Long, byte[]>> batches = new TreeMap<>();
        String prefix = "audit/" + DayOption.compact(mDay) + "/";
        for (String name : PlatformSession.await(mSession.platform().objects().list(prefix))) {
            String[] parts = name.split("/");
            if (parts.length == OBJECT_NAME_PARTS && parts[4].matches("[0-9]{1,18}")) {
                Option<byte[]> content =
                        PlatformSession.await(mSession.platform().objects().read(name));
                SortedMap<Long, byte[]> batchesOfStart =
                        batches.computeIfAbsent(
                                parts[2] + "/" + parts[3], start -> new TreeMap<>());
                content.forEach(bytes -> batchesOfStart.put(Long.parseLong(parts[4]), bytes));
            }
        }
        batches.values().removeIf(Map::isEmpty);
        return batches;
    }

    private Map<String, AuditCheckpoint> checkpoints(LocalDate date) {
        String compact = DayOption.compact(date);
        return AuditRows.decode(
                        compact,
                        PlatformSession.await(
                                mSession.platform()
                                        .tables()
                                        .scan(AuditRows.TABLE, compact + "/", 0)))
                .get();
    }
}
