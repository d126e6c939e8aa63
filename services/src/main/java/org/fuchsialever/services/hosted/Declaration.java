package org.fuchsialever.services.hosted;

import org.fuchsialever.decisions.manifest.Manifest;

/** Something that an operator or a trainer has declared. */
public sealed interface Declaration {

    /** The manifest of the operator. */
    record ManifestDeclared(Manifest manifest) implements Declaration {}

    /** A trainer has named the newest weight version of its model. */
    record VersionAnnounced(String model, long version) implements Declaration {}

    /** Something that the node does not use. */
    record Ignored() implements Declaration {}
}
