package org.fuchsialever.node.intent;

import io.vavr.control.Option;
import java.util.List;
import org.fuchsialever.decisions.intent.IntentCommand;

/** Encodes and decodes the commands of a journal. */
public interface CommandCodec<C extends IntentCommand> {

    /** Returns the fields of a command; none contains white space. */
    List<String> encode(C command);

    /** Returns the command, or none if the fields are malformed. */
    Option<C> decode(List<String> fields);
}
