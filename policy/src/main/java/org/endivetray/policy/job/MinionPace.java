package org.endivetray.policy.job;

import java.util.concurrent.TimeUnit;

/**
 * How fast a minion is on like work, compared with the other minions of its pool; it determines
 * after what time a run on it counts as stalled.
 *
 * <p>Patterns of load: a few tasks of each kind that take many times as long as the others on
 * minions that are sound, beside minions on which all tasks take many times as long for a while.
 *
 * <p>A run is overdue if it takes more than twice the expected duration of its kind. A long task is
 * overdue on a sound minion, most runs are on a slow one. If many runs of the whole pool are
 * overdue, expectations are wrong and say nothing of a minion.
 *
 * <p>This class is immutable and thread-safe.
 */
public enum MinionPace {
    /** Most of the minion's runs are overdue, and few of the pool's. */
    SLOW {
        @Override
        public long stallMillis(long expectedMillis, long longestMillis) {
            return OVERDUE_FACTOR * expectedMillis;
        }
    },
    /** Few of the minion's runs are overdue, so that a run that is takes long by itself. */
    SOUND {
        @Override
        public long stallMillis(long expectedMillis, long longestMillis) {
            return Math.max(
                    UNKNOWN.stallMillis(expectedMillis, longestMillis),
                    OVERDUE_FACTOR * longestMillis);
        }
    },
    /** Too few runs to tell. */
    UNKNOWN {
        @Override
        public long stallMillis(long expectedMillis, long longestMillis) {
            return Math.max(MIN_STALL_MILLIS, STALL_FACTOR * expectedMillis);
        }
    };

    /** Multiple of the expected duration after which a run is overdue. */
    private static final int OVERDUE_FACTOR = 2;

    /** Multiple of the expected duration after which a run counts as stalled without evidence. */
    private static final int STALL_FACTOR = 4;

    /** Shortest time after which it does. This is longer than a usual task takes. */
    private static final long MIN_STALL_MILLIS = 2_500;

    /** Least number of runs on a minion that tell its pace. */
    private static final int MIN_RUNS = 4;

    /** Least share of overdue runs on a slow minion. */
    private static final double SLOW_SHARE = 0.6;

    /** Highest share of overdue runs on a sound minion. */
    private static final double SOUND_SHARE = 0.4;

    /** Highest share of overdue runs of a pool whose expectations hold. */
    private static final double MAX_POOL_SHARE = 0.3;

    /**
     * Returns the time after which a run on such a minion counts as stalled, in milliseconds.
     *
     * @param expectedMillis expected duration of its kind, in milliseconds
     * @param longestMillis longest duration that was observed of its kind lately, in milliseconds
     */
    public abstract long stallMillis(long expectedMillis, long longestMillis);

    /**
     * Runs that are going on, and those of them that are overdue.
     *
     * <p>This class is immutable and thread-safe.
     */
    public record Runs(int running, int overdue) {
        /** No runs. */
        public static final Runs NONE = new Runs(0, 0);

        /** Returns these and another run. */
        public Runs with(long ageNanos, long expectedMillis) {
            boolean isOverdue =
                    ageNanos > TimeUnit.MILLISECONDS.toNanos(OVERDUE_FACTOR * expectedMillis);
            return new Runs(running + 1, overdue + (isOverdue ? 1 : 0));
        }

        /** Returns these and other runs. */
        public Runs and(Runs other) {
            return new Runs(running + other.running, overdue + other.overdue);
        }

        private double overdueShare() {
            return running == 0 ? 0 : overdue / (double) running;
        }
    }

    /**
     * Returns the pace of a minion.
     *
     * @param minion the runs on it of which the expected duration is known, not null
     * @param pool those on all minions of its pool, not null
     */
    public static MinionPace of(Runs minion, Runs pool) {
        if (minion.running() < MIN_RUNS || pool.overdueShare() > MAX_POOL_SHARE) {
            return UNKNOWN;
        }
        if (minion.overdueShare() >= SLOW_SHARE) {
            return SLOW;
        }
        return minion.overdueShare() <= SOUND_SHARE ? SOUND : UNKNOWN;
    }
}
