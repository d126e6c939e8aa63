package org.fuchsialever.services.hosted;

import io.vavr.control.Either;
import org.fuchsialever.decisions.directory.DirectoryTable;
import org.fuchsialever.decisions.fleet.FleetUpstream;

/** Decodes the directory rows that operators, trainers and upstreams write. */
public interface DirectoryFormat {

    /** Returns the name of a table in the store. */
    String tableName(DirectoryTable table);

    /** Decodes a row of an operator or a trainer; left is a message that says what is invalid. */
    Either<String, Declaration> readDeclaration(String key, byte[] value);

    /** Decodes the row of an upstream; left is a message that says what is invalid. */
    Either<String, FleetUpstream> readUpstream(String key, byte[] value);
}
