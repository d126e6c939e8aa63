package org.fuchsialever.services.hosted;

import org.fuchsialever.decisions.manifest.Manifest;

/** A row that an operator or a trainer wrote to the directory. */
public sealed interface Declaration {

    /** The manifest of the operator. */
    record ManifestDeclared(Manifest manifest) implements Declaration {}

    /** A trainer announces the newest weight version of its model. */
    record VersionAnnounced(String model, long version) implements Declaration {}

    /** A row that the node does not use. */
    record Ignored() implements Declaration {}
}
