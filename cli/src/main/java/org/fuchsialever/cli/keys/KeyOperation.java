package org.fuchsialever.cli.keys;

import com.beust.jcommander.ParameterException;
import java.util.Locale;
import org.fuchsialever.cli.command.CommandContext;
import org.fuchsialever.cli.command.ExitCode;

/** The operations of the command {@code key}. */
enum KeyOperation {
    /** Creates a key and prints it; its secret cannot be shown again. */
    GRANT {
        @Override
        ExitCode run(KeyTask task, KeyAdministration store, CommandContext context) {
            return store.grant(task.team(), task.lifetimeMillis(), context);
        }
    },
    /** Lists all keys without their hashes. */
    LIST {
        @Override
        ExitCode run(KeyTask task, KeyAdministration store, CommandContext context) {
            return store.list(context);
        }
    },
    /** Withdraws a key at the table service and at every listed instance. */
    WITHDRAW {
        @Override
        ExitCode run(KeyTask task, KeyAdministration store, CommandContext context)
                throws InterruptedException {
            return store.withdraw(task.keyId(), context);
        }
    };

    abstract ExitCode run(KeyTask task, KeyAdministration store, CommandContext context)
            throws InterruptedException;

    static KeyOperation of(String word) {
        try {
            return valueOf(word.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new ParameterException("\"" + word + "\" is not grant, list or withdraw");
        }
    }
}
