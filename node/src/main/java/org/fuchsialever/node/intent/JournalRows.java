package org.fuchsialever.node.intent;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.fuchsialever.decisions.intent.Intent;
import org.fuchsialever.decisions.intent.IntentCommand;
import org.fuchsialever.decisions.intent.Journal;
import org.fuchsialever.services.Row;

/** Encodes and decodes rows of table {@code intents}: one line for each open intent. */
final class JournalRows<C extends IntentCommand> {
    static final String TABLE = "intents";

    private static final int INTENT_FIELD_COUNT = 2;

    private final CommandCodec<C> mCodec;

    JournalRows(CommandCodec<C> codec) {
        mCodec = codec;
    }

    String encode(List<Intent<C>> openIntents) {
        StringBuilder text = new StringBuilder();
        for (Intent<C> intent : openIntents) {
            text.append(intent.id()).append(' ').append(intent.fencing());
            mCodec.encode(intent.command()).forEach(field -> text.append(' ').append(field));
            text.append('\n');
        }
        return text.toString();
    }

    /** Returns the journal, or none if a line is malformed. */
    Option<Journal<C>> decode(Row row) {
        List<Intent<C>> openIntents = new ArrayList<>();
        for (String line : row.value().lines().toList()) {
            List<String> fields = List.of(line.split(" "));
            if (fields.size() <= INTENT_FIELD_COUNT || !fields.get(1).matches("[0-9]{1,18}")) {
                return Option.none();
            }
            Option<C> command = mCodec.decode(fields.subList(INTENT_FIELD_COUNT, fields.size()));
            if (command.isEmpty()) {
                return Option.none();
            }
            long fencing = Long.parseLong(fields.get(1));
            openIntents.add(new Intent<>(fields.get(0), fencing, command.get()));
        }
        return Option.some(new Journal<>(row.version(), row.writer(), openIntents));
    }
}
