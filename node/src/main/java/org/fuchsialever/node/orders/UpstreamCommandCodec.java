package org.fuchsialever.node.orders;

import io.vavr.control.Option;
import io.vavr.control.Try;
import java.util.List;
import org.fuchsialever.decisions.config.CapacityKind;
import org.fuchsialever.decisions.model.FailureDomain;
import org.fuchsialever.decisions.model.PoolName;
import org.fuchsialever.decisions.model.UpstreamId;
import org.fuchsialever.decisions.orders.CapacityPlacement;
import org.fuchsialever.decisions.orders.UpstreamCommand;
import org.fuchsialever.node.intent.CommandCodec;

/** Text form of orders for upstreams. */
final class UpstreamCommandCodec implements CommandCodec<UpstreamCommand> {
    private static final int FIELDS = 5;

    @Override
    public List<String> encode(UpstreamCommand command) {
        return List.of(
                command.action().name(),
                command.upstream().value(),
                command.pool().value(),
                command.placement().kind().name(),
                command.placement().domain().value());
    }

    @Override
    public Option<UpstreamCommand> decode(List<String> fields) {
        return fields.size() == FIELDS ? Try.of(() -> command(fields)).toOption() : Option.none();
    }

    private static UpstreamCommand command(List<String> fields) {
        return new UpstreamCommand(
                UpstreamCommand.Action.valueOf(fields.get(0)),
                new UpstreamId(fields.get(1)),
                new PoolName(fields.get(2)),
                new CapacityPlacement(
                        CapacityKind.valueOf(fields.get(3)), new FailureDomain(fields.get(4))));
    }
}
