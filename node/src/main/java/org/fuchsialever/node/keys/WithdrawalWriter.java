package org.fuchsialever.node.keys;

import io.vavr.control.Option;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.fuchsialever.decisions.keys.KeyRecord;
import org.fuchsialever.decisions.keys.KeyRow;
import org.fuchsialever.decisions.model.KeyId;
import org.fuchsialever.services.Commit;
import org.fuchsialever.services.CommitResult;
import org.fuchsialever.services.Row;
import org.fuchsialever.services.TableService;
import reactor.core.publisher.Mono;

/**
 * Writes withdrawals to the table service. A repeat is harmless, because a withdrawal is final; the
 * caller repeats until the answer is true.
 */
public final class WithdrawalWriter {
    private final TableService tables;
    private final String writerPrefix;
    private final AtomicLong sequence = new AtomicLong();

    /**
     * Creates a writer.
     *
     * @param tables the table service
     * @param writerPrefix identity from which those of commits are made
     */
    public WithdrawalWriter(TableService tables, String writerPrefix) {
        this.tables = tables;
        this.writerPrefix = writerPrefix;
    }

    /**
     * Marks a key as withdrawn; a key without a row gets one, so that it is never granted.
     *
     * @return whether the table shows the withdrawal; false if another writer changed the row
     */
    public Mono<Boolean> store(KeyId key) {
        return tables.read(KeyRows.TABLE, key.value()).flatMap(row -> store(key, row));
    }

    private Mono<Boolean> store(KeyId key, Option<Row> row) {
        Option<KeyRecord> present =
                row.flatMap(found -> KeyRows.decode(found).toOption()).map(KeyRow::key);
        if (present.exists(KeyRecord::withdrawn)) {
            return Mono.just(true);
        }
        KeyRecord withdrawn =
                present.map(KeyRecord::asWithdrawn).getOrElse(KeyRecord.tombstone(key));
        Commit commit =
                new Commit(
                        writerPrefix + "-withdrawal-" + sequence.incrementAndGet(),
                        List.of(
                                new Commit.Condition(
                                        KeyRows.TABLE,
                                        key.value(),
                                        row.map(Row::version).getOrElse(0L))),
                        List.of(new Commit.Put(KeyRows.TABLE, key.value(), withdrawn.encode())),
                        List.of());
        return tables.commit(commit).map(WithdrawalWriter::isWithdrawn);
    }

    private static boolean isWithdrawn(CommitResult result) {
        return result instanceof CommitResult.Committed
                || (result instanceof CommitResult.Conflict conflict
                        && conflict.rows().stream()
                                .anyMatch(
                                        row ->
                                                KeyRows.decode(row)
                                                        .exists(key -> key.key().withdrawn())));
    }
}
