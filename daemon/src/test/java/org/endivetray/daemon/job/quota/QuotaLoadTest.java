package org.endivetray.daemon.job.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.virtual.VirtualExecutor;
import org.endivetray.daemon.job.virtual.VirtualStore;
import org.endivetray.daemon.job.watch.StoreWatch;
import org.endivetray.daemon.observe.JobMetrics;
import org.endivetray.job.ClientAccount;
import org.endivetray.job.ClientAccounts;
import org.endivetray.job.Resources;
import org.endivetray.platform.SharedStore.Condition;
import org.junit.jupiter.api.Test;

/**
 * Measures what the caps of accounts cost under load, on a virtual clock: one account, a daemon for
 * each pool, jobs of eight tasks of one core and 0.8 s each. Demand is in a fifth of the pools at a
 * time and moves on every five seconds.
 *
 * <p>This class is not thread-safe.
 */
class QuotaLoadTest {
    private static final String ACCOUNT = "a";
    private static final long TASK_MILLIS = 800;
    private static final int TASKS_PER_JOB = 8;
    private static final int CORES_PER_POOL = 64;
    private static final long TICK_MILLIS = 10;
    private static final long TURN_MILLIS = 5_000;
    private static final long RUN_MILLIS = 40_000;
    private static final Resources TASK = new Resources(1_000, 0, 0);

    private final VirtualExecutor mExecutor = new VirtualExecutor();
    private final VirtualStore mStore = new VirtualStore(mExecutor);
    private final Random mRandom = new Random(7);
    private final List<Pool> mPools = new ArrayList<>();
    private int mMostRunning;
    private long mStranded;
    private long mShortTicks;

    private static final class Figures {
        int mStarts;

        /** Time that tasks have waited for room of the account while the pool had free cores. */
        long mGrantDelayMillis;
    }

    private final class Pool implements QuotaMember {
        private final String mName;
        private final Condition mKey;
        private final QuotaManager mManager;
        private final Deque<Long> mWaiting = new ArrayDeque<>();
        private final Deque<Long> mEnds = new ArrayDeque<>();
        private final Figures mFigures = new Figures();

        Pool(String name, ClientAccounts accounts) {
            mName = name;
            String key = JobKeys.OWNER_PREFIX + name;
            mKey = new Condition(key, mStore.put(key, new byte[] {1}));
            mManager =
                    new QuotaManager(
                            mStore,
                            mExecutor,
                            StoreWatch.Timing.ofSilence(3_000),
                            12_000,
                            () -> accounts,
                            new JobMetrics());
            mManager.add(this);
        }

        void submit() {
            for (int i = 0; i < TASKS_PER_JOB; i++) {
                mWaiting.add(mExecutor.millis());
            }
        }

        void tick() {
            long now = mExecutor.millis();
            while (!mEnds.isEmpty() && mEnds.peek() <= now) {
                mEnds.poll();
            }
            Resources limit = mManager.limit(ACCOUNT, mName);
            while (!mWaiting.isEmpty()
                    && mEnds.size() < CORES_PER_POOL
                    && limit.covers(TASK.times(mEnds.size() + 1))) {
                mWaiting.poll();
                mFigures.mStarts++;
                mEnds.add(now + TASK_MILLIS);
            }
            int waiting = Math.min(mWaiting.size(), CORES_PER_POOL - mEnds.size());
            mFigures.mGrantDelayMillis += waiting * TICK_MILLIS;
            mManager.onLoadChanged(ACCOUNT);
            mManager.tick(mExecutor.nanoTime());
        }

        @Override
        public String pool() {
            return mName;
        }

        @Override
        public Condition owner() {
            return mKey;
        }

        @Override
        public AccountLoad load(String account) {
            int free = CORES_PER_POOL - mEnds.size();
            Resources waiting = TASK.times(Math.min(free, mWaiting.size()));
            return new AccountLoad(
                    TASK.times(mEnds.size()), waiting, mWaiting.isEmpty() ? Resources.NONE : TASK);
        }

        @Override
        public boolean isSettled() {
            return true;
        }
    }

    /** Plays a load and returns a row of figures. */
    private String play(String name, int pools, int capCores, double jobsPerSecond) {
        ClientAccount account =
                new ClientAccount(ACCOUNT, Set.of(), 0, 1, new Resources(capCores * 1_000L, 0, 0));
        ClientAccounts accounts = ClientAccounts.of(List.of(account), Set.of()).withVersion(1);
        for (int i = 0; i < pools; i++) {
            mPools.add(new Pool("p" + i, accounts));
        }
        mExecutor.advance(500);
        int callsBefore = mStore.calls();
        int commitsBefore = mStore.commits();
        int active = Math.max(1, pools / 5);
        for (long t = 0; t < RUN_MILLIS; t += TICK_MILLIS) {
            if (mRandom.nextDouble() < jobsPerSecond * TICK_MILLIS / 1e3) {
                int turn = (int) (t / TURN_MILLIS);
                mPools.get((turn * active + mRandom.nextInt(active)) % pools).submit();
            }
            mPools.forEach(Pool::tick);
            mExecutor.advance(TICK_MILLIS);
            observe(capCores);
        }
        int starts = 0;
        long delay = 0;
        for (Pool pool : mPools) {
            starts += pool.mFigures.mStarts;
            delay += pool.mFigures.mGrantDelayMillis;
        }
        int calls = mStore.calls() - callsBefore;
        int commits = mStore.commits() - commitsBefore;
        return String.format(
                "quota load: %s pools=%d cap=%d starts=%d commits=%d calls=%d startsPerCommit=%.1f"
                        + " startsPerCall=%.1f grantDelay=%.1fms mostRunning=%d stranded=%.3f",
                name,
                pools,
                capCores,
                starts,
                commits,
                calls,
                starts / (double) commits,
                starts / (double) calls,
                delay / (double) Math.max(1, starts),
                mMostRunning,
                mStranded / (double) Math.max(1, mShortTicks) / capCores);
    }

    /** Counts the room that nobody uses while tasks that a pool could run wait for it. */
    private void observe(int capCores) {
        int running = mPools.stream().mapToInt(pool -> pool.mEnds.size()).sum();
        int waiting =
                mPools.stream()
                        .mapToInt(
                                pool ->
                                        Math.min(
                                                pool.mWaiting.size(),
                                                CORES_PER_POOL - pool.mEnds.size()))
                        .sum();
        mMostRunning = Math.max(mMostRunning, running);
        if (waiting > 0) {
            mShortTicks++;
            mStranded += Math.min(waiting, capCores - running);
        }
    }

    private static void check(int pools, int capCores, double jobsPerSecond) {
        String name = jobsPerSecond * 6.4 < capCores / 2.0 ? "ample" : "scarce";
        QuotaLoadTest test = new QuotaLoadTest();
        System.out.println(test.play(name, pools, capCores, jobsPerSecond));
        assertThat(test.mMostRunning).isLessThanOrEqualTo(capCores);
    }

    @Test
    void anAccountFarBelowItsCapInFivePoolsStaysWithinIt() {
        check(5, 320, 8);
    }

    @Test
    void anAccountFarBelowItsCapInFiftyThreePoolsStaysWithinIt() {
        check(53, 1_000, 40);
    }

    @Test
    void anAccountThatWantsMoreThanItsCapInFivePoolsStaysWithinIt() {
        check(5, 40, 8);
    }

    @Test
    void anAccountThatWantsMoreThanItsCapInFiftyThreePoolsStaysWithinIt() {
        check(53, 200, 40);
    }
}
