package org.fuchsialever.decisions.keys;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fuchsialever.decisions.dispatch.RefusalReason;
import org.fuchsialever.decisions.model.KeyId;

/**
 * Snapshot of all keys. Immutable. A lookup hashes the presented secret and compares it in constant
 * time whether the key exists or not, so that its duration does not reveal which key IDs exist.
 */
public final class KeyTable {
    /** A table without keys. */
    public static final KeyTable EMPTY = new KeyTable(List.of(), Set.of());

    private static final KeyHash UNKNOWN_KEY =
            KeyHash.of("0123456789abcdef0123456789abcdef", "no secret has this form");

    private final Map<KeyId, KeyRecord> mRecords;
    private final Set<KeyId> mWithdrawals;

    /**
     * Creates a table.
     *
     * @param records the keys
     * @param withdrawals keys that are withdrawn, regardless of their record
     */
    public KeyTable(Collection<KeyRecord> records, Set<KeyId> withdrawals) {
        Map<KeyId, KeyRecord> byId = new HashMap<>();
        records.forEach(keyRecord -> byId.put(keyRecord.id(), keyRecord));
        mRecords = Map.copyOf(byId);
        mWithdrawals = Set.copyOf(withdrawals);
    }

    /**
     * Checks a presented key.
     *
     * @param text the key as presented by the caller
     * @param wallMillis wall-clock time in milliseconds since the epoch
     * @return the key, or why it is refused; the state of a key is revealed only to callers that
     *     know its secret
     */
    public Either<RefusalReason, KeyRecord> check(String text, long wallMillis) {
        Option<PresentedKey> presented = PresentedKey.parse(text);
        String secret = presented.map(PresentedKey::secret).getOrElse("");
        Option<KeyRecord> found = presented.flatMap(key -> Option.of(mRecords.get(key.id())));
        boolean matches = found.map(KeyRecord::hash).getOrElse(UNKNOWN_KEY).matches(secret);
        if (!matches || found.isEmpty()) {
            return Either.left(RefusalReason.KEY_WRONG);
        }
        KeyRecord key = found.get();
        if (isWithdrawn(key.id())) {
            return Either.left(RefusalReason.KEY_WITHDRAWN);
        }
        if (key.expiresMillis() > 0 && wallMillis >= key.expiresMillis()) {
            return Either.left(RefusalReason.KEY_EXPIRED);
        }
        return Either.right(key);
    }

    /** Returns whether a key is withdrawn. */
    public boolean isWithdrawn(KeyId id) {
        KeyRecord known = mRecords.get(id);
        return mWithdrawals.contains(id) || (known != null && known.withdrawn());
    }

    /** Returns the number of keys. */
    public int size() {
        return mRecords.size();
    }
}
