package org.fuchsialever.decisions.domain;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Instances that send calls to upstreams of three failure domains and learn load by reports. */
abstract class DomainFixture {
    static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    static final List<String> DOMAINS = List.of("a", "b", "c");
    static final String SERVICE = "plain";
    static final int SLOTS = 6;
    static final long WORK = 50 * MILLI;
    static final long REPORT_LIFETIME = 500 * MILLI;
    static final DomainCost COST = new DomainCost(2 * MILLI, 100);

    final SplittableRandom mRandom = new SplittableRandom(35);
    final List<Upstream> mUpstreams = new ArrayList<>();
    final List<Instance> mInstances = new ArrayList<>();
    final List<Sent> mSent = new ArrayList<>();
    boolean mReporting = true;
    long mNow;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::no));
    private long mLastEvent;

    void upstreams(int inA, int inB, int inC) {
        int[] counts = {inA, inB, inC};
        for (int domain = 0; domain < counts.length; domain++) {
            for (int number = 0; number < counts[domain]; number++) {
                mUpstreams.add(new Upstream(DOMAINS.get(domain)));
            }
        }
    }

    /** Adds instances that together offer as many calls as would keep the given slots busy. */
    void instances(String domain, int count, double busySlots, long bytes) {
        for (int number = 0; number < count; number++) {
            Instance instance = new Instance(domain, bytes, count * WORK / busySlots);
            mInstances.add(instance);
            at(mNow + exponential(instance.mMeanGap), instance::arrive);
        }
    }

    void run(long nanos) {
        long until = mNow + nanos;
        while (!mEvents.isEmpty() && mEvents.peek().at <= until) {
            Event event = mEvents.poll();
            mNow = event.at;
            event.action.run();
        }
        mNow = until;
    }

    void at(long when, Runnable action) {
        mEvents.add(new Event(when, mLastEvent++, action));
    }

    void setServing(String domain, boolean serving) {
        mUpstreams.stream()
                .filter(upstream -> upstream.mDomain.equals(domain))
                .forEach(upstream -> upstream.mServing = serving);
    }

    /** Returns the calls that the instances of a domain have sent since the given time. */
    List<Sent> sentFrom(String domain, long since) {
        return mSent.stream().filter(sent -> sent.home.equals(domain) && sent.at >= since).toList();
    }

    static double shareOf(List<Sent> sent, String domain) {
        return (double) sent.stream().filter(call -> call.to.equals(domain)).count() / sent.size();
    }

    static double meanWaitMillis(List<Sent> sent) {
        return sent.stream().mapToLong(call -> call.waitNanos).average().orElse(0) / MILLI;
    }

    double meanShare(String home) {
        return mInstances.stream()
                .filter(instance -> instance.mHome.equals(home))
                .mapToDouble(instance -> instance.mSpill.share(SERVICE))
                .average()
                .orElseThrow();
    }

    private long exponential(double mean) {
        return Math.round(-mean * Math.log(1 - mRandom.nextDouble()));
    }

    private record Event(long at, long no, Runnable action) {}

    /** A call, where it went and how long it waited there. */
    static final class Sent {
        final String home;
        final String to;
        final long at;
        final long bytes;
        long waitNanos;

        Sent(String home, String to, long at, long bytes) {
            this.home = home;
            this.to = to;
            this.at = at;
            this.bytes = bytes;
        }
    }

    /** An upstream with a queue, as it really is. */
    final class Upstream {
        final String mDomain;
        final Deque<Runnable> mQueue = new ArrayDeque<>();
        int mRunning;
        double mSlowdown = 1;
        boolean mServing = true;

        Upstream(String domain) {
            mDomain = domain;
        }

        void call(Sent sent, Runnable done) {
            Runnable start =
                    () -> {
                        sent.waitNanos = mNow - sent.at;
                        mRunning++;
                        at(
                                mNow + exponential(WORK * mSlowdown),
                                () -> {
                                    mRunning--;
                                    if (!mQueue.isEmpty()) {
                                        mQueue.poll().run();
                                    }
                                    done.run();
                                });
                    };
            if (mRunning < SLOTS) {
                start.run();
            } else {
                mQueue.add(start);
            }
        }
    }

    /** What an instance knows of an upstream. */
    private static final class View {
        int mInFlight;
        int mOthers;
        double mSlowdown = 1;
        long mKnownUntil = Long.MIN_VALUE;
    }

    /** An instance that picks the least loaded upstream of the target domain. */
    final class Instance {
        final String mHome;
        final DomainSpill mSpill;
        int mTurns;
        private boolean mRaised;
        private final long mBytes;
        private final double mMeanGap;
        private final Map<Upstream, View> mViews = new HashMap<>();

        Instance(String home, long bytes, double meanGap) {
            mHome = home;
            mBytes = bytes;
            mMeanGap = meanGap;
            mSpill = new DomainSpill(home, DomainPolicy.AUTO, COST, mRandom.split());
        }

        void arrive() {
            at(mNow + exponential(mMeanGap), this::arrive);
            String target = mSpill.target(SERVICE, loads(), mBytes, mNow);
            mSpill.drainChanges(this::changed);
            Option.ofOptional(
                            mUpstreams.stream()
                                    .filter(upstream -> upstream.mServing)
                                    .min(
                                            Comparator.comparingDouble(
                                                    upstream -> rank(upstream, target))))
                    .forEach(this::send);
        }

        private void changed(ShareChange change) {
            boolean raised = change.after() > change.before();
            mTurns += raised == mRaised ? 0 : 1;
            mRaised = raised;
        }

        private double rank(Upstream upstream, String target) {
            double tie = mRandom.nextDouble() / 1_000;
            return tie + load(view(upstream)) + (upstream.mDomain.equals(target) ? 0 : 1_000);
        }

        private void send(Upstream upstream) {
            Sent sent = new Sent(mHome, upstream.mDomain, mNow, mBytes);
            mSent.add(sent);
            View view = view(upstream);
            view.mInFlight++;
            upstream.call(
                    sent,
                    () -> {
                        view.mInFlight--;
                        mSpill.noteWork(SERVICE, mNow - sent.at - sent.waitNanos);
                        if (mReporting) {
                            int others =
                                    upstream.mRunning + upstream.mQueue.size() - view.mInFlight;
                            view.mOthers = Math.max(0, others);
                            view.mSlowdown = upstream.mSlowdown;
                            view.mKnownUntil = mNow + REPORT_LIFETIME;
                        }
                    });
        }

        private List<DomainLoad> loads() {
            return DOMAINS.stream().map(this::load).toList();
        }

        private DomainLoad load(String domain) {
            int slots = 0;
            double capacity = 0;
            double known = 0;
            double calls = 0;
            for (Upstream upstream : mUpstreams) {
                if (upstream.mServing && upstream.mDomain.equals(domain)) {
                    View view = view(upstream);
                    boolean isKnown = mNow < view.mKnownUntil;
                    double room = SLOTS / (isKnown ? view.mSlowdown : 1);
                    slots += SLOTS;
                    capacity += room;
                    known += isKnown ? room : 0;
                    calls += isKnown ? load(view) : 0;
                }
            }
            double coverage = capacity > 0 ? known / capacity : 0;
            return new DomainLoad(
                    domain,
                    slots,
                    capacity,
                    coverage,
                    known > 0 ? Option.some(calls / known) : Option.none());
        }

        private double load(View view) {
            return view.mInFlight + (mNow < view.mKnownUntil ? view.mOthers : 0);
        }

        private View view(Upstream upstream) {
            return mViews.computeIfAbsent(upstream, key -> new View());
        }
    }
}
