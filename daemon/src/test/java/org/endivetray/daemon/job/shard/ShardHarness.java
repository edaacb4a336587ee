package org.endivetray.daemon.job.shard;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.daemon.job.record.StoredJob;
import org.endivetray.daemon.job.virtual.VirtualExecutor;
import org.endivetray.daemon.job.virtual.VirtualStore;
import org.endivetray.daemon.job.watch.StoreWatch;
import org.endivetray.daemon.observe.JobMetrics;
import org.endivetray.job.ClientAccounts;
import org.endivetray.job.JobAnswer;
import org.endivetray.job.JobSpec;
import org.endivetray.job.MinionInfo;
import org.endivetray.job.QueueConfig;
import org.endivetray.job.StepSpec;
import org.endivetray.platform.PlacementAdvisor;
import org.endivetray.platform.SharedStore.Condition;
import org.endivetray.policy.job.DurationModel;
import org.endivetray.policy.job.FarFactor;

/**
 * Successive owners of the shard of one pool, on a virtual clock.
 *
 * <p>This class is not thread-safe.
 */
final class ShardHarness {
    static final String POOL = "ice";
    static final QueueConfig QUEUE =
            new QueueConfig("charts", "h", "/c/", POOL, 0, 2, 2.0, 600, false);
    private static final long TICK_MILLIS = 10;
    private static final long LEASE_MILLIS = 6_000;
    private static final long STOP_MILLIS = 100;

    final VirtualExecutor mExecutor = new VirtualExecutor();
    final VirtualStore mStore = new VirtualStore(mExecutor);
    final VirtualMinions mMinions = new VirtualMinions(mExecutor);
    final List<MinionInfo> mRegistered = new ArrayList<>();
    final MemoryUse mMemory = new MemoryUse();
    final JobMetrics mMetrics = new JobMetrics();
    boolean mMayAct = true;

    /** Multiple of its duration that a task takes away from its data, 0 if it is learnt. */
    double mFarFactor;

    /** The placement advisor, null if there is none. */
    PlacementAdvisor mAdvisor;

    /** The client accounts of the configuration in force. */
    ClientAccounts mAccounts = ClientAccounts.NONE;

    final List<Shard> mShards = new ArrayList<>();

    /** Adds a minion to the pool and registers it. */
    void addMinion(String id) {
        mRegistered.add(mMinions.add(id, POOL, 8_000));
    }

    /** Adds a minion in a rack to the pool and registers it. */
    void addMinion(String id, String rack) {
        mRegistered.add(mMinions.add(id, POOL, 8_000, rack));
    }

    /** Adds minions and returns an owner of the pool's shard that has been at work for a while. */
    Shard startWith(String... minions) {
        for (String minion : minions) {
            addMinion(minion);
        }
        Shard shard = takeOver();
        run(300, shard);
        return shard;
    }

    /** Returns the context of a daemon. */
    ShardContext context() {
        return new ShardContext(
                mStore,
                mMinions,
                mAdvisor,
                mExecutor,
                mMemory,
                () -> mMayAct,
                mMetrics,
                new ShardLimits(
                        LEASE_MILLIS, STOP_MILLIS, 120_000, StoreWatch.Timing.ofSilence(3_000)),
                () -> mAccounts);
    }

    /** Returns a new owner of the pool's shard, without notifying the previous one. */
    Shard takeOver() {
        long token = mStore.put(JobKeys.OWNER_PREFIX + POOL, new byte[] {1});
        mMinions.addOwner(token);
        Shard shard =
                new Shard(
                        context(),
                        POOL,
                        new Condition(JobKeys.OWNER_PREFIX + POOL, token),
                        new DurationModel(FarFactor.configured(mFarFactor)),
                        lost -> {});
        shard.onRegistrations(mRegistered);
        mShards.add(shard);
        return shard;
    }

    /** Advances the clock and ticks the given shards at every step of it. */
    void run(long millis, Shard... shards) {
        for (long t = 0; t < millis; t += TICK_MILLIS) {
            mExecutor.advance(TICK_MILLIS);
            for (Shard shard : shards) {
                shard.onRegistrations(List.copyOf(mRegistered));
                shard.tick(mExecutor.nanoTime());
            }
        }
    }

    /**
     * Returns a step of short tasks.
     *
     * @param count number of tasks
     * @param after numbers of the steps that must be done first, not null
     */
    static StepSpec step(int count, Integer... after) {
        return step(count, 1_000, 100, 500, List.of(after), false, false);
    }

    /** Returns a step of tasks that take a hundredth of a core each. */
    static StepSpec smallTasks(int count, boolean checkpoints) {
        return step(count, 10, 1, 100, List.of(), checkpoints, false);
    }

    /** Returns a step of two tasks with a declared duration. */
    static StepSpec twoTasks(long estimateMillis, boolean sameRack) {
        return step(2, 1_000, 100, estimateMillis, List.of(), false, sameRack);
    }

    private static StepSpec step(
            int count,
            int cpuMillis,
            int memoryMb,
            long estimateMillis,
            List<Integer> after,
            boolean checkpoints,
            boolean sameRack) {
        return new StepSpec(
                count,
                cpuMillis,
                memoryMb,
                0,
                estimateMillis,
                after,
                checkpoints,
                false,
                sameRack,
                "",
                "",
                0,
                false,
                false,
                "",
                0,
                false,
                -1);
    }

    static JobSpec job(StepSpec... steps) {
        return new JobSpec("payload", List.of(steps), 0, 0, 0);
    }

    /** Returns the id of the job with a number. */
    static String id(int number) {
        return String.format("%016x", number);
    }

    /** Submits the job with a number to a shard. */
    Future<JobAnswer> submit(Shard shard, int number, StepSpec... steps) {
        return shard.submit(QUEUE, "", id(number), job(steps));
    }

    /** Stores a job in the inbox, as a daemon does that cannot reach the owner. */
    void storeInInbox(int number, StepSpec... steps) {
        mStore.put(
                JobKeys.inboxJobs(POOL) + id(number),
                new StoredJob(POOL, QUEUE, job(steps), 0).encode());
    }
}
