package org.fuchsialever.node.weights;

import io.vavr.control.Option;
import io.vavr.control.Try;
import java.util.List;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.model.WeightVersion;
import org.fuchsialever.decisions.weights.LoadCommand;
import org.fuchsialever.node.intent.CommandCodec;

/** Encodes load commands as text fields. */
final class LoadCommandCodec implements CommandCodec<LoadCommand> {
    private static final int FIELDS = 3;
    private static final String ENFORCED = "enforced";
    private static final String IGNORED = "ignored";

    @Override
    public List<String> encode(LoadCommand command) {
        return List.of(
                command.upstream().value(),
                command.version().toString(),
                command.fencingEnforced() ? ENFORCED : IGNORED);
    }

    @Override
    public Option<LoadCommand> decode(List<String> fields) {
        boolean valid =
                fields.size() == FIELDS && List.of(ENFORCED, IGNORED).contains(fields.get(2));
        return valid ? Try.of(() -> command(fields)).toOption() : Option.none();
    }

    private static LoadCommand command(List<String> fields) {
        return new LoadCommand(
                new UpstreamId(fields.get(0)),
                new WeightVersion(Long.parseLong(fields.get(1))),
                fields.get(2).equals(ENFORCED));
    }
}
