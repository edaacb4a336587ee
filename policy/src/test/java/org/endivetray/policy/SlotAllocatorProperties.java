package org.endivetray.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Drives a slot allocator and simulated daemons over delayed, lost and reordered messages. */
class SlotAllocatorProperties {
    private static final int SLOTS = 8;
    private static final long TTL = TimeUnit.SECONDS.toNanos(3);
    private static final long STEP = TimeUnit.MILLISECONDS.toNanos(5);

    @Property(tries = 300, seed = "7")
    void daemonsThatKeepTheirLimitsNeverExceedTheSlotsOfAMinionTogether(
            @ForAll Random random,
            @ForAll @IntRange(min = 1, max = 6) int daemons,
            @ForAll @IntRange(min = 1, max = 4) int minions) {
        Simulation simulation = new Simulation(random, daemons, minions);
        for (int step = 0; step < 400; step++) {
            simulation.step();
            simulation.assertWithinSlots();
        }
    }

    @Property(tries = 60, seed = "7")
    void theOnlyDaemonWithWaitingRequestsGetsAllSlots(
            @ForAll @IntRange(min = 2, max = 8) int daemons,
            @ForAll @IntRange(min = 1, max = 9) int minions) {
        Simulation simulation = new Simulation(new Random(1), daemons, minions);
        simulation.deliverInOrder(3);
        simulation.mDaemons.get(0).mWaiting = 1_000;
        simulation.deliverInOrder(6);
        int granted =
                simulation.mDaemons.get(0).mLimits.values().stream().mapToInt(limit -> limit).sum();
        assertThat(granted).isEqualTo(minions * SLOTS);
    }

    @Property(tries = 60, seed = "8")
    void grantsFollowAReducedCapacity(
            @ForAll Random random,
            @ForAll @IntRange(min = 2, max = 6) int daemons,
            @ForAll @IntRange(min = 0, max = 7) int slots) {
        Simulation simulation = new Simulation(random, daemons, 4);
        for (int step = 0; step < 200; step++) {
            simulation.step();
        }
        simulation.mAllocator.setCapacity(Map.of("m0", 8, "m1", slots, "m2", 8, "m3", slots));
        simulation.mDaemons.forEach(daemon -> daemon.mInFlight.clear());
        simulation.deliverInOrder(4);
        for (String minion : List.of("m1", "m3")) {
            int used = simulation.mDaemons.stream().mapToInt(daemon -> daemon.used(minion)).sum();
            assertThat(used).isLessThanOrEqualTo(slots);
        }
    }

    /** Simulated daemons, one slot allocator and the messages between them. */
    private static final class Simulation {
        private final Random mRandom;
        private final SlotAllocator mAllocator;
        private final List<FakeDaemon> mDaemons = new ArrayList<>();
        private final List<Message> mMessages = new ArrayList<>();
        private final int mMinions;
        private long mNow = STEP;

        Simulation(Random random, int daemons, int minions) {
            mRandom = random;
            mMinions = minions;
            Map<String, Integer> capacity = new TreeMap<>();
            for (int i = 0; i < minions; i++) {
                capacity.put("m" + i, SLOTS);
            }
            for (int i = 0; i < daemons; i++) {
                mDaemons.add(new FakeDaemon("d" + i));
            }
            mAllocator =
                    new SlotAllocator(
                            TTL, mDaemons.stream().map(daemon -> daemon.mName).toList(), mNow);
            mAllocator.setCapacity(capacity);
        }

        void step() {
            mNow += STEP;
            FakeDaemon daemon = mDaemons.get(mRandom.nextInt(mDaemons.size()));
            switch (mRandom.nextInt(6)) {
                case 0 -> daemon.mWaiting = mRandom.nextInt(40);
                case 1 -> daemon.startRequests(mRandom);
                case 2 -> daemon.endRequests(mRandom);
                case 3 -> mMessages.add(daemon.report(mNow));
                default -> deliverOne();
            }
        }

        void deliverInOrder(int rounds) {
            for (int round = 0; round < rounds; round++) {
                mNow += STEP;
                mDaemons.forEach(daemon -> mMessages.add(daemon.report(mNow)));
                while (!mMessages.isEmpty()) {
                    deliver(mMessages.remove(0));
                }
            }
        }

        private void deliverOne() {
            if (mMessages.isEmpty()) {
                return;
            }
            Message message = mMessages.remove(mRandom.nextInt(mMessages.size()));
            if (mRandom.nextInt(5) > 0) {
                deliver(message);
            }
        }

        private void deliver(Message message) {
            if (message.mIsReport) {
                Set<String> changed =
                        mAllocator.onReport(
                                message.mDaemon.mName,
                                message.mWaiting,
                                message.mUsages,
                                message.mReportSeq,
                                message.mSeq,
                                mNow);
                mMessages.add(grant(message.mDaemon));
                mDaemons.stream()
                        .filter(daemon -> changed.contains(daemon.mName))
                        .forEach(daemon -> mMessages.add(grant(daemon)));
            } else {
                message.mDaemon.apply(message);
            }
        }

        private Message grant(FakeDaemon daemon) {
            Message message = new Message(daemon, false);
            message.mSeq = mAllocator.grantSeqOf(daemon.mName);
            message.mLimits = mAllocator.limitsOf(daemon.mName);
            return message;
        }

        void assertWithinSlots() {
            for (int i = 0; i < mMinions; i++) {
                String minion = "m" + i;
                int used = mDaemons.stream().mapToInt(daemon -> daemon.used(minion)).sum();
                assertThat(used).as("slots in use of " + minion).isLessThanOrEqualTo(SLOTS);
            }
        }
    }

    /** A daemon that applies grants in order and starts requests within its limits. */
    private static final class FakeDaemon {
        private final String mName;
        private final Map<String, Integer> mLimits = new TreeMap<>();
        private final Map<String, Integer> mInFlight = new TreeMap<>();
        private int mWaiting;
        private long mSeq;
        private long mReportSeq;

        FakeDaemon(String name) {
            mName = name;
        }

        int used(String minion) {
            return Math.max(mLimits.getOrDefault(minion, 0), mInFlight.getOrDefault(minion, 0));
        }

        void startRequests(Random random) {
            mLimits.forEach(
                    (minion, limit) -> {
                        int free = limit - mInFlight.getOrDefault(minion, 0);
                        if (free > 0) {
                            mInFlight.merge(minion, random.nextInt(free + 1), Integer::sum);
                        }
                    });
        }

        void endRequests(Random random) {
            mInFlight.replaceAll((minion, count) -> count - random.nextInt(count + 1));
        }

        Message report(long nowNanos) {
            Message message = new Message(this, true);
            message.mWaiting = mWaiting;
            message.mSeq = mSeq;
            message.mReportSeq = ++mReportSeq;
            Set<String> minions = new TreeSet<>(mLimits.keySet());
            minions.addAll(mInFlight.keySet());
            for (String minion : minions) {
                message.mUsages.put(
                        minion,
                        new SlotAllocator.SlotUsage(
                                mLimits.getOrDefault(minion, 0),
                                mInFlight.getOrDefault(minion, 0)));
            }
            return message;
        }

        void apply(Message grant) {
            if (grant.mSeq >= mSeq) {
                mSeq = grant.mSeq;
                mLimits.clear();
                mLimits.putAll(grant.mLimits);
            }
        }
    }

    /** A report or a grant in transit. */
    private static final class Message {
        private final FakeDaemon mDaemon;
        private final boolean mIsReport;
        private final Map<String, SlotAllocator.SlotUsage> mUsages = new TreeMap<>();
        private Map<String, Integer> mLimits = Map.of();
        private int mWaiting;
        private long mSeq;
        private long mReportSeq;

        Message(FakeDaemon daemon, boolean report) {
            mDaemon = daemon;
            mIsReport = report;
        }
    }
}
