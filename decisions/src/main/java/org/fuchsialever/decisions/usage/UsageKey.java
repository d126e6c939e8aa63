package org.fuchsialever.decisions.usage;

import java.util.Comparator;
import org.fuchsialever.decisions.model.RouteName;
import org.fuchsialever.decisions.model.TeamName;

/** Dimensions by which the usage of a window is counted. */
public record UsageKey(TeamName team, RouteName route, UsageClass usageClass)
        implements Comparable<UsageKey> {
    private static final Comparator<UsageKey> ORDER =
            Comparator.comparing((UsageKey key) -> key.team.value())
                    .thenComparing(key -> key.route.value())
                    .thenComparing(UsageKey::usageClass);

    @Override
    public int compareTo(UsageKey other) {
        return ORDER.compare(this, other);
    }
}
