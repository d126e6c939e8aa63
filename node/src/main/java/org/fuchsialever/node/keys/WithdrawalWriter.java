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
 * Writes withdrawals to the table service. A withdrawal is final, so writing it again is harmless;
 * the caller retries until the result is true.
 */
public final class WithdrawalWriter {
    private final TableService mTables;
    private final String mWriterPrefix;
    private final AtomicLong mSequence = new AtomicLong();

    /**
     * Creates a writer.
     *
     * @param tables receives the withdrawals
     * @param writerPrefix prefix of the writer IDs of commits; unique among all writers
     */
    public WithdrawalWriter(TableService tables, String writerPrefix) {
        mTables = tables;
        mWriterPrefix = writerPrefix;
    }

    /**
     * Marks a key as withdrawn. A key without a row gets one, so that it cannot be granted later.
     *
     * @return whether the row is withdrawn; false if another writer changed the row meanwhile
     */
    public Mono<Boolean> store(KeyId key) {
        return mTables.read(KeyRows.TABLE, key.value()).flatMap(row -> store(key, row));
    }

    private Mono<Boolean> store(KeyId key, Option<Row> row) {
        Option<KeyRecord> current =
                row.flatMap(found -> KeyRows.decode(found).toOption()).map(KeyRow::key);
        if (current.exists(KeyRecord::withdrawn)) {
            return Mono.just(true);
        }
        KeyRecord withdrawn =
                current.map(KeyRecord::asWithdrawn).getOrElse(KeyRecord.tombstone(key));
        Commit commit =
                new Commit(
                        mWriterPrefix + "-withdrawal-" + mSequence.incrementAndGet(),
                        List.of(
                                new Commit.Condition(
                                        KeyRows.TABLE,
                                        key.value(),
                                        row.map(Row::version).getOrElse(0L))),
                        List.of(new Commit.Put(KeyRows.TABLE, key.value(), withdrawn.encode())),
                        List.of());
        return mTables.commit(commit).map(WithdrawalWriter::isWithdrawn);
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
