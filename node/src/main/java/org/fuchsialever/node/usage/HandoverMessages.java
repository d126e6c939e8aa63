package org.fuchsialever.node.usage;

import io.vavr.control.Try;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.fuchsialever.decisions.membership.PeerMessage.UsageHandover;
import org.fuchsialever.decisions.membership.PeerMessage.UsageTotal;
import org.fuchsialever.decisions.usage.StartId;
import org.fuchsialever.decisions.usage.UsageAction;
import org.fuchsialever.decisions.usage.UsageClass;
import org.fuchsialever.decisions.usage.UsageCounts;
import org.fuchsialever.decisions.usage.UsageEvent;
import org.fuchsialever.decisions.usage.UsageKey;
import org.fuchsialever.decisions.usage.WindowId;

/**
 * Mapping between hand-overs and messages. The lines of a message name no class: a team and route
 * has one line for each class, in the order of {@link UsageClass}.
 */
final class HandoverMessages {

    private HandoverMessages() {}

    static UsageHandover encode(UsageAction.SendHandover handover) {
        Map<UsageKey, UsageCounts> totals = handover.totals();
        TreeSet<UsageKey> groups = new TreeSet<>();
        totals.keySet().forEach(key -> groups.add(inClass(key, UsageClass.values()[0])));
        List<UsageTotal> lines = new ArrayList<>();
        for (UsageKey group : groups) {
            for (UsageClass usageClass : UsageClass.values()) {
                UsageCounts figures =
                        totals.getOrDefault(inClass(group, usageClass), UsageCounts.ZERO);
                lines.add(
                        new UsageTotal(
                                group.team(),
                                group.route(),
                                figures.requests(),
                                figures.promptTokens(),
                                figures.generatedTokens()));
            }
        }
        return new UsageHandover(
                handover.owner().instance(),
                handover.owner().start(),
                handover.window().label(),
                handover.sequence(),
                lines);
    }

    /** Returns the hand-over, or a failure if the message has another form. */
    static Try<UsageEvent.HandoverReceived> decode(UsageHandover message) {
        return Try.of(
                () -> {
                    UsageClass[] classes = UsageClass.values();
                    List<UsageTotal> lines = message.totals();
                    if (lines.size() % classes.length != 0) {
                        throw new IllegalArgumentException("a hand-over lacks lines");
                    }
                    Map<UsageKey, UsageCounts> totals = new HashMap<>();
                    for (int i = 0; i < lines.size(); i++) {
                        UsageTotal line = lines.get(i);
                        UsageCounts figures =
                                new UsageCounts(
                                        line.requests(),
                                        line.promptTokens(),
                                        line.generatedTokens());
                        if (!figures.equals(UsageCounts.ZERO)) {
                            UsageClass usageClass = classes[i % classes.length];
                            totals.put(
                                    new UsageKey(line.team(), line.route(), usageClass), figures);
                        }
                    }
                    return new UsageEvent.HandoverReceived(
                            new StartId(message.owner(), message.start()),
                            WindowId.parse(message.window()),
                            message.sequence(),
                            totals);
                });
    }

    private static UsageKey inClass(UsageKey key, UsageClass usageClass) {
        return new UsageKey(key.team(), key.route(), usageClass);
    }
}
