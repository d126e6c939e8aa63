package org.fuchsialever.cli.keys;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.cli.command.CommandContext;
import org.fuchsialever.cli.command.ExitCode;
import org.fuchsialever.cli.platform.PlatformSession;
import org.fuchsialever.cli.platform.PlatformTask;
import org.fuchsialever.kernel.settings.Quantities;

/** One run of the command {@code key}. */
@Parameters(commandDescription = "Grant, list and withdraw keys")
final class KeyTask extends PlatformTask {
    @Parameter(description = "grant | list | withdraw <key id>", required = true)
    private List<String> mArguments = new ArrayList<>();

    @Parameter(names = "--team", description = "Team of a new key")
    private String mTeam = "";

    @Parameter(
            names = "--expires-in",
            description = "Time until a new key expires, such as 720 h; by default it does not")
    private String mExpiresIn = "";

    @Override
    protected ExitCode run(CommandContext context, PlatformSession session) throws Exception {
        KeyOperation operation = KeyOperation.of(mArguments.get(0));
        return operation.run(this, new KeyAdministration(session, isJsonRequested()), context);
    }

    /** Returns the team of a new key. */
    String team() {
        if (mTeam.isEmpty()) {
            throw new ParameterException("grant needs --team");
        }
        return mTeam;
    }

    /** Returns the lifetime of a new key in milliseconds; 0 if it does not expire. */
    long lifetimeMillis() {
        if (mExpiresIn.isEmpty()) {
            return 0;
        }
        return Quantities.parseDuration(mExpiresIn)
                .filter(duration -> !duration.isZero())
                .getOrElseThrow(
                        () -> new ParameterException("\"" + mExpiresIn + "\" is not a duration"))
                .toMillis();
    }

    /** Returns the ID of the key to withdraw. */
    String keyId() {
        if (mArguments.size() != 2) {
            throw new ParameterException("withdraw needs one key id");
        }
        return mArguments.get(1);
    }
}
