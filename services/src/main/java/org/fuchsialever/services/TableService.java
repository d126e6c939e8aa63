package org.fuchsialever.services;

import io.vavr.control.Option;
import java.util.List;
import reactor.core.publisher.Mono;

/**
 * The platform's transactional table service. Methods fail with a {@link PlatformException} that
 * says whether a change may have taken effect.
 */
public interface TableService {

    /** Returns a row, or none if it does not exist. The result may be stale. */
    Mono<Option<Row>> read(String table, String key);

    /**
     * Returns the rows whose key starts with a prefix and whose version is greater than the given
     * one, in order of their keys. The result may be stale.
     */
    Mono<List<Row>> scan(String table, String prefix, long afterVersion);

    /** Applies all puts and deletes of a commit if all its conditions hold, or none of them. */
    Mono<CommitResult> commit(Commit commit);
}
