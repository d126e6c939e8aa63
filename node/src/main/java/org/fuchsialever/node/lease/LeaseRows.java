package org.fuchsialever.node.lease;

import io.vavr.control.Option;
import java.util.List;
import org.fuchsialever.decisions.lease.LeaseCommit;
import org.fuchsialever.decisions.lease.LeaseRow;
import org.fuchsialever.services.Commit;
import org.fuchsialever.services.Row;

/** Text form of the rows of table {@code leases}. */
final class LeaseRows {
    /** Name of the table. */
    static final String TABLE = "leases";

    private static final String LIVE = "live";
    private static final String DEAD = "dead";
    private static final String NONE = "-";
    private static final int ROLE_FIELDS = 3;

    private LeaseRows() {}

    /** Returns the typed row, or none if the row has another form. */
    static Option<LeaseRow> decode(Row row) {
        String key = row.key();
        String value = row.value();
        if (key.startsWith(LeaseRow.Session.PREFIX)) {
            return Option.some(
                    new LeaseRow.Session(key, row.version(), row.writer(), value.equals(DEAD)));
        }
        if (key.startsWith(LeaseRow.Bid.PREFIX)) {
            String role = key.substring(LeaseRow.Bid.PREFIX.length());
            return Option.some(new LeaseRow.Bid(role, row.version(), row.writer(), value));
        }
        return key.startsWith(LeaseRow.Role.PREFIX) ? decodeRole(row) : Option.none();
    }

    private static Option<LeaseRow> decodeRole(Row row) {
        String[] fields = row.value().split(" ");
        if (fields.length != ROLE_FIELDS || !fields[0].matches("[0-9]{1,18}")) {
            return Option.none();
        }
        return Option.some(
                new LeaseRow.Role(
                        row.key().substring(LeaseRow.Role.PREFIX.length()),
                        row.version(),
                        row.writer(),
                        fields[1].equals(NONE) ? "" : fields[1],
                        fields[2].equals(NONE) ? "" : fields[2],
                        Long.parseLong(fields[0])));
    }

    static String encode(LeaseRow row) {
        if (row instanceof LeaseRow.Session session) {
            return session.dead() ? DEAD : LIVE;
        }
        if (row instanceof LeaseRow.Bid bid) {
            return bid.bidder();
        }
        LeaseRow.Role role = (LeaseRow.Role) row;
        return role.fencing() + " " + orNone(role.holder()) + " " + orNone(role.successor());
    }

    static Commit encode(LeaseCommit commit) {
        List<Commit.Condition> conditions =
                commit.conditions().entrySet().stream()
                        .map(e -> new Commit.Condition(TABLE, e.getKey(), e.getValue()))
                        .toList();
        List<Commit.Put> puts =
                commit.puts().stream()
                        .map(row -> new Commit.Put(TABLE, row.key(), encode(row)))
                        .toList();
        List<Commit.Delete> deletes =
                commit.deletes().stream().map(key -> new Commit.Delete(TABLE, key)).toList();
        return new Commit(commit.writer(), conditions, puts, deletes);
    }

    private static String orNone(String text) {
        return text.isEmpty() ? NONE : text;
    }
}
