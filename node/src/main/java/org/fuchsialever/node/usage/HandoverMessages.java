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
 * Maps handovers to and from messages. The totals in a message do not name their class: each team
 * and route has one total for each class, in the order of {@link UsageClass}.
 */
final class HandoverMessages {

    private HandoverMessages() {}

    static UsageHandover encode(UsageAction.SendHandover handover) {
        Map<UsageKey, UsageCounts> totals = handover.totals();
        TreeSet<UsageKey> groups = new TreeSet<>();
        totals.keySet().forEach(key -> groups.add(withClass(key, UsageClass.values()[0])));
        List<UsageTotal> lines = new ArrayList<>();
        for (UsageKey group : groups) {
            for (UsageClass usageClass : UsageClass.values()) {
                UsageCounts counts =
                        totals.getOrDefault(withClass(group, usageClass), UsageCounts.ZERO);
                lines.add(
                        new UsageTotal(
                                group.team(),
                                group.route(),
                                counts.requests(),
                                counts.promptTokens(),
                                counts.generatedTokens()));
            }
        }
        return new UsageHandover(
                handover.owner().instance(),
                handover.owner().start(),
                handover.window().label(),
                handover.sequence(),
                lines);
    }

    /** Returns the handover, or a failure if the message is malformed. */
    static Try<UsageEvent.HandoverReceived> decode(UsageHandover message) {
        return Try.of(
                () -> {
                    UsageClass[] classes = UsageClass.values();
                    List<UsageTotal> lines = message.totals();
                    if (lines.size() % classes.length != 0) {
                        throw new IllegalArgumentException(
                                lines.size() + " totals are no multiple of " + classes.length);
                    }
                    Map<UsageKey, UsageCounts> totals = new HashMap<>();
                    for (int i = 0; i < lines.size(); i++) {
                        UsageTotal line = lines.get(i);
                        UsageCounts counts =
                                new UsageCounts(
                                        line.requests(),
                                        line.promptTokens(),
                                        line.generatedTokens());
                        if (!counts.equals(UsageCounts.ZERO)) {
                            UsageClass usageClass = classes[i % classes.length];
                            totals.put(new UsageKey(line.team(), line.route(), usageClass), counts);
                        }
                    }
                    return new UsageEvent.HandoverReceived(
                            new StartId(message.owner(), message.start()),
                            WindowId.parse(message.window()),
                            message.sequence(),
                            totals);
                });
    }

    private static UsageKey withClass(UsageKey key, UsageClass usageClass) {
        return new UsageKey(key.team(), key.route(), usageClass);
    }
}
