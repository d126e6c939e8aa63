package org.fuchsialever.services.rows;

import java.time.Duration;
import reactor.core.publisher.Mono;

/**
 * A linearizable store of rows and objects. Failures are {@link
 * org.fuchsialever.services.PlatformException}s that say whether a change may have taken effect.
 */
public interface RowStore {

    /** Applies a change atomically if all its conditions hold. */
    Mono<RowChangeResult> change(RowChange change);

    /**
     * Returns rows of a table in the order of their keys.
     *
     * @param from the lower bound of the keys, inclusive
     * @param to the upper bound of the keys, exclusive, empty for no bound
     * @param limit the maximum number of rows
     */
    Mono<RowPage> range(String table, String from, String to, int limit);

    /**
     * Waits for changes of a table; fails with {@link HistoryLostException} if the store no longer
     * has them.
     *
     * @param after the version whose later changes are returned
     * @param wait how long to wait for the first change
     */
    Mono<RowPage> changes(String table, long after, Duration wait);

    /** Removes an object; succeeds also if it does not exist. */
    Mono<Void> removeObject(String name);
}
