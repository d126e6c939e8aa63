package org.fuchsialever.decisions.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class ShareAllocatorTest {

    @Test
    void distributesUnusedCapacityToTheOtherTeamsByWeight() {
        double[] shares =
                ShareAllocator.allocate(12, new double[] {1, 100, 100}, new double[] {1, 1, 3});

        assertThat(shares[0], is(closeTo(1, 1e-9)));
        assertThat(shares[1], is(closeTo(2.75, 1e-9)));
        assertThat(shares[2], is(closeTo(8.25, 1e-9)));
    }

    @Property(tries = 500, seed = "42")
    boolean dividesAllCapacityOrMeetsAllDemands(
            @ForAll @Size(5) List<@DoubleRange(min = 0, max = 1000) Double> demandList) {
        double capacity = 100;
        double[] demands = demandList.stream().mapToDouble(Double::doubleValue).toArray();
        double[] shares = ShareAllocator.allocate(capacity, demands, new double[] {1, 2, 3, 4, 5});
        double allocated = Arrays.stream(shares).sum();
        double wanted = Arrays.stream(demands).sum();
        return Math.abs(allocated - Math.min(capacity, wanted)) < 1e-6;
    }
}
