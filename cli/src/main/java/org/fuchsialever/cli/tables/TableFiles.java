package org.fuchsialever.cli.tables;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.fuchsialever.decisions.config.SnapshotText;
import org.fuchsialever.decisions.config.TableParser;
import org.fuchsialever.kernel.findings.Findings;

/** Options that name the files of both tables. */
final class TableFiles {
    @Parameter(names = "--routes", description = "Table of routes (INI)", required = true)
    private String mRoutes = "";

    @Parameter(names = "--pools", description = "Table of pools (INI)", required = true)
    private String mPools = "";

    /** Reads both files as the given version; throws if a file cannot be read. */
    SnapshotText read(long version) throws IOException {
        return new SnapshotText(
                version, Files.readString(Path.of(mRoutes)), Files.readString(Path.of(mPools)));
    }

    /** Returns all findings about both tables. */
    Findings check(SnapshotText tables) {
        Findings findings = new Findings();
        TableParser.parse(
                tables.version(), mRoutes, tables.routes(), mPools, tables.pools(), findings);
        return findings;
    }
}
