package org.fuchsialever.decisions.queue;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** A few large and many small teams before a pool with too little room. */
class FairQueueTest {
    private static final int SLOTS = 12;
    private static final int LARGE_TEAMS = 3;
    private static final int SMALL_TEAMS = 60;
    private static final int ROUNDS = 20_000;

    private final FairQueue<QueuePlace> mQueue = new FairQueue<>();
    private final List<QueuePlace> mStarted = new ArrayList<>();
    private long mNumber;

    @Test
    void goesByDueTimeAmongTeamsWithinTheirShare() {
        mQueue.setSlots(SLOTS);
        add("a", 0, 30, 1);
        add("b", 0, 10, 1);
        add("a", 0, 20, 1);
        start(3);
        assertThat(mStarted.stream().map(QueuePlace::order).toList(), contains(10L, 20L, 30L));
    }

    @Test
    void startsWhatFindsRoomBehindWhatFindsNone() {
        place("a", 0, 1, 1, "full");
        place("b", 0, 2, 1, "free");
        mQueue.drain(call -> call.room().equals("free") && mStarted.add(call));
        assertThat(mStarted.stream().map(QueuePlace::team).toList(), contains("b"));
        assertThat(mQueue.size(), is(1));
    }

    /** Large teams submit more than their share all the time; small ones half of theirs or more. */
    @Test
    void givesTheWorstServedTeamNineTenthsOfItsShare() {
        mQueue.setSlots(SLOTS);
        SplittableRandom random = new SplittableRandom(7);
        Map<String, Double> demands = new HashMap<>();
        Map<String, Double> served = new HashMap<>();
        int teams = LARGE_TEAMS + SMALL_TEAMS;
        for (int round = 0; round < ROUNDS; round++) {
            for (int team = 0; team < LARGE_TEAMS; team++) {
                demand(demands, "large" + team, round, random);
            }
            // Together they ask for two thirds of the pool.
            int small = random.nextInt(SMALL_TEAMS);
            if (random.nextInt(3) < 2) {
                demand(demands, "small" + small, round, random);
            }
            start(1);
            assertThat("work conserving", mStarted.size(), is(round + 1));
        }
        mStarted.forEach(call -> served.merge(call.team(), call.cost(), Double::sum));
        double total = served.values().stream().mapToDouble(cost -> cost).sum();
        double share = total / teams;
        for (Map.Entry<String, Double> team : demands.entrySet()) {
            double fair = Math.min(share, team.getValue());
            assertThat(
                    team.getKey(),
                    served.getOrDefault(team.getKey(), 0.0),
                    greaterThanOrEqualTo(0.9 * fair));
        }
    }

    @Test
    void dividesAPoolByTheWeightsOfTeams() {
        mQueue.setWeights(Map.of("half", 0.5));
        for (int call = 0; call < 1_000; call++) {
            add("half", 0, 0, 1);
            add("whole", 0, 0, 1);
        }
        start(900);
        long half = mStarted.stream().filter(call -> call.team().equals("half")).count();
        assertThat(half, is(greaterThanOrEqualTo(290L)));
        assertThat(half, is(lessThanOrEqualTo(310L)));
    }

    /** The due time of its calls is far ahead, so that it would come last. */
    @Test
    void boundsTheWaitOfATeamThatIsDueLast() {
        mQueue.setSlots(SLOTS);
        add("late", 0, 1_000_000, 1);
        int teams = 10;
        int starts = 0;
        while (mStarted.stream().noneMatch(call -> call.team().equals("late"))) {
            for (int team = 0; team < teams; team++) {
                add("early" + team, 0, starts, 1);
            }
            start(1);
            starts++;
        }
        // Its share of a slot comes once per round of the teams; it may be behind by a full pool.
        assertThat(starts, lessThanOrEqualTo((SLOTS + 2) * (teams + 1)));
    }

    @Test
    void givesNoCreditForIdleTime() {
        for (int call = 0; call < 2_000; call++) {
            add("busy", 0, 0, 1);
        }
        start(1_000);
        mStarted.clear();
        for (int call = 0; call < 500; call++) {
            add("idle", 0, 0, 1);
        }
        start(100);
        long idle = mStarted.stream().filter(call -> call.team().equals("idle")).count();
        assertThat(idle, is(lessThanOrEqualTo(55L)));
        assertThat(idle, is(greaterThanOrEqualTo(45L)));
    }

    @Test
    void neverServesALessUrgentRankMoreOftenAndNeverStarvesIt() {
        for (int call = 0; call < 1_000; call++) {
            add("urgent", 0, 0, 1);
            add("normal", 1, 0, 1);
            add("low", 5, 0, 1);
        }
        start(800);
        long urgent = mStarted.stream().filter(call -> call.rank() == 0).count();
        long normal = mStarted.stream().filter(call -> call.rank() == 1).count();
        long low = mStarted.stream().filter(call -> call.rank() == 5).count();
        assertThat(urgent, is(greaterThanOrEqualTo(7 * normal)));
        assertThat(normal, is(greaterThanOrEqualTo(7 * low - 7)));
        assertThat(low, is(greaterThanOrEqualTo(800L / 64 - 1)));
        assertThat(urgent + normal + low, is(800L));
    }

    @Test
    void scoresBeforeItBeginsNewTexts() {
        mQueue.setSlots(SLOTS);
        QueuePlace item = new QueuePlace("a", 0, 2, 1, mNumber++, 1, "r");
        QueuePlace score = new QueuePlace("a", 0, 1, 50, mNumber++, 1, "r");
        mQueue.add(item, item);
        mQueue.add(score, score);
        start(2);
        assertThat(mStarted, contains(score, item));
    }

    @Test
    void forgetsACallThatNoLongerWaits() {
        QueuePlace call = add("a", 0, 1, 1);
        assertThat(mQueue.remove(call), is(true));
        assertThat(mQueue.remove(call), is(false));
        start(1);
        assertThat(mStarted.size(), is(0));
    }

    private void demand(
            Map<String, Double> demands, String team, int round, SplittableRandom random) {
        QueuePlace call = add(team, 0, round, 1 + random.nextInt(19));
        demands.merge(team, call.cost(), Double::sum);
    }

    private QueuePlace add(String team, int rank, long order, double cost) {
        return place(team, rank, order, cost, "r");
    }

    private QueuePlace place(String team, int rank, long order, double cost, String room) {
        QueuePlace place = new QueuePlace(team, rank, 0, order, mNumber++, cost, room);
        mQueue.add(place, place);
        return place;
    }

    private void start(int slots) {
        int[] free = {slots};
        mQueue.drain(call -> free[0]-- > 0 && mStarted.add(call));
    }
}
