package org.fuchsialever.services.hosted;

import io.vavr.control.Either;
import org.fuchsialever.decisions.directory.DirectoryTable;
import org.fuchsialever.decisions.fleet.FleetUpstream;

/** Reads the rows that operators, trainers and upstreams write. */
public interface DirectoryFormat {

    /** Returns the name of a table in the store. */
    String tableName(DirectoryTable table);

    /** Reads a declaration, or says what is wrong with it. */
    Either<String, Declaration> readDeclaration(String key, byte[] value);

    /** Reads how an upstream describes itself, or says what is wrong with it. */
    Either<String, FleetUpstream> readUpstream(String key, byte[] value);
}
