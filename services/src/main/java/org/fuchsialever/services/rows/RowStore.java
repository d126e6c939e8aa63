package org.fuchsialever.services.rows;

import java.time.Duration;
import reactor.core.publisher.Mono;

/**
 * A linearizable store of rows and objects. Failures are {@link
 * org.fuchsialever.services.PlatformException}s that say whether a change may have taken effect.
 */
public interface RowStore {

    /** Applies a change if all its conditions hold. */
    Mono<RowChangeResult> change(RowChange change);

    /**
     * Returns rows of a table in the order of their keys.
     *
     * @param table the table
     * @param from the first key
     * @param to the key after the last one, empty for no bound
     * @param limit the most rows to return
     */
    Mono<RowPage> range(String table, String from, String to, int limit);

    /**
     * Waits for changes of a table; fails with {@link HistoryLostException} if they are not known.
     *
     * @param table the table
     * @param after the version after which changes are wanted
     * @param wait how long to wait for the first one
     */
    Mono<RowPage> changes(String table, long after, Duration wait);

    /** Removes an object; succeeds if there is none. */
    Mono<Void> removeObject(String name);
}
