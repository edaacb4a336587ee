package org.endivetray.policy.job;

import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The order in which the waiting steps of several client accounts get the room of a pool.
 *
 * <p>Long-running steps keep the place that {@link StepRank} gives them, before or after all
 * others. The other steps get room in these turns:
 *
 * <ol>
 *   <li>late steps of jobs older than {@value #STARVED_MILLIS} milliseconds, oldest first, as long
 *       as such steps hold less than a twentieth of the capacity, so that no step waits forever;
 *   <li>steps of entitled jobs that can meet their objective;
 *   <li>steps of entitled jobs that are late, first up to their account's share of the capacity;
 *   <li>steps of the other jobs that can meet their objective;
 *   <li>steps of the other jobs that are late, first up to their account's share.
 * </ol>
 *
 * <p>An account has as many entitled jobs as it sends within its rate; which of its jobs these are
 * follows {@link StepRank}, so that an account that exceeds its rate has most of them in time.
 *
 * <p>A priority, first the account's and then the queue's, decides who gets the room that is left:
 * beyond the shares of late work and beyond the rates. It takes from no account what its weight
 * entitles it to. Within these turns {@link StepRank} comes after the priority, elsewhere it
 * decides alone.
 *
 * <p>Invariants: each step is offered room in one turn without a limit, so no room stays free that
 * a waiting step could use.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param <T> a step with waiting tasks
 */
public final class AccountOrder<T> {
    /** Age from which a late job gets room regardless of its account, in milliseconds. */
    public static final long STARVED_MILLIS = 30_000;

    /** Part of the capacity that steps may hold because of their age. */
    private static final double STARVED_SHARE = 0.05;

    /**
     * A step with waiting tasks.
     *
     * @param step the step, not null
     * @param job identifies its job, not null
     * @param account name of its account, not null
     * @param accountPriority priority of the account, 0 goes first
     * @param queuePriority priority of the queue, 0 goes first
     * @param isEntitled whether its job holds an entitlement of the account
     * @param rank its rank without regard to accounts, not null
     * @param ageMillis time since it was due or submitted, in milliseconds
     * @param cpuMillis what each of its tasks takes, in thousandths of a core
     */
    public record Waiting<T>(
            T step,
            Object job,
            String account,
            int accountPriority,
            int queuePriority,
            boolean isEntitled,
            StepRank rank,
            long ageMillis,
            long cpuMillis) {
        /**
         * Returns whether the step is late and old enough to get room regardless of its account.
         */
        public boolean isStarved() {
            return rank.isFinite() && !rank.isInTime() && ageMillis >= STARVED_MILLIS;
        }
    }

    /** Starts tasks of a step where there is room. */
    public interface Starter<T> {
        /**
         * Starts at most the given number of waiting tasks and returns how many were started.
         *
         * @param step the step, not null
         * @param maxTasks highest number of tasks, 1 or more
         */
        int start(T step, int maxTasks);

        /** Called when the job of a step has used an entitlement of its account. */
        void onEntitled(T step);
    }

    /** The starts of one dispatch. */
    private final class Dispatch {
        private final AccountUse mUse;
        private final Entitlements mEntitlements;
        private final Starter<T> mStarter;

        /** The jobs that may use an entitlement and have not yet. */
        private final Set<Object> mCandidates;

        /** The steps that have no waiting task left, or for which there is no room. */
        private final Set<Waiting<T>> mFinished =
                Collections.newSetFromMap(new IdentityHashMap<>());

        private Dispatch(
                AccountUse use,
                Entitlements entitlements,
                Set<Object> candidates,
                Starter<T> starter) {
            mUse = use;
            mEntitlements = entitlements;
            mCandidates = candidates;
            mStarter = starter;
        }

        private boolean isEntitled(Waiting<T> each) {
            return each.isEntitled() || mCandidates.contains(each.job());
        }

        /** Offers room to a step and returns how many of its tasks were started. */
        private int offer(Waiting<T> each, int maxTasks) {
            if (mFinished.contains(each)) {
                return 0;
            }
            int started = mStarter.start(each.step(), maxTasks);
            if (started < maxTasks) {
                mFinished.add(each);
            }
            if (started > 0 && each.rank().isFinite()) {
                mUse.add(each.account(), started * each.cpuMillis());
                if (!each.isEntitled() && mCandidates.remove(each.job())) {
                    mEntitlements.use(each.account());
                    mStarter.onEntitled(each.step());
                }
            }
            return started;
        }

        private void offerAll(List<Waiting<T>> steps) {
            steps.forEach(each -> offer(each, Integer.MAX_VALUE));
        }

        private void offerShares(List<Waiting<T>> steps) {
            for (Waiting<T> each : steps) {
                int maxTasks = mUse.tasksWithinShare(each.account(), each.cpuMillis());
                if (maxTasks > 0) {
                    offer(each, maxTasks);
                }
            }
        }

        private void offerStarved(List<Waiting<T>> steps, long heldCpuMillis) {
            double left = STARVED_SHARE * mUse.capacityCpuMillis() - heldCpuMillis;
            for (Waiting<T> each : steps) {
                if (left <= 0) {
                    return;
                }
                int maxTasks = (int) Math.ceil(left / Math.max(1, each.cpuMillis()));
                left -= (double) offer(each, maxTasks) * each.cpuMillis();
            }
        }
    }

    /**
     * Offers room to all steps in their order.
     *
     * @param waiting the steps with waiting tasks, not null
     * @param use what the accounts use; all accounts of the steps must be active; not null
     * @param entitlements the unused entitlements of the accounts, not null
     * @param starvedCpuMillis what the running tasks of such old jobs take, in thousandths of a
     *     core
     * @param starter starts the tasks, not null
     */
    public void dispatch(
            List<Waiting<T>> waiting,
            AccountUse use,
            Entitlements entitlements,
            long starvedCpuMillis,
            Starter<T> starter) {
        Comparator<Waiting<T>> byRank = Comparator.comparing(Waiting::rank);
        Comparator<Waiting<T>> byPriority =
                Comparator.<Waiting<T>>comparingInt(Waiting::accountPriority)
                        .thenComparingInt(Waiting::queuePriority)
                        .thenComparing(Waiting::rank);
        List<Waiting<T>> finite = select(waiting, each -> each.rank().isFinite(), byRank);
        Dispatch dispatch =
                new Dispatch(use, entitlements, candidates(finite, entitlements), starter);
        dispatch.offerAll(
                select(
                        waiting,
                        each -> !each.rank().isFinite() && !each.rank().isBestEffort(),
                        byRank));
        dispatch.offerStarved(
                select(
                        finite,
                        Waiting::isStarved,
                        Comparator.comparingLong(each -> -each.ageMillis())),
                starvedCpuMillis);
        List<Waiting<T>> entitled = select(finite, dispatch::isEntitled, byRank);
        List<Waiting<T>> others = select(finite, each -> !dispatch.isEntitled(each), byPriority);
        for (List<Waiting<T>> turn : List.of(entitled, others)) {
            dispatch.offerAll(turn.stream().filter(each -> each.rank().isInTime()).toList());
            dispatch.offerShares(turn.stream().filter(each -> !each.rank().isInTime()).toList());
            dispatch.offerAll(select(turn, each -> true, byPriority));
        }
        dispatch.offerAll(select(waiting, each -> each.rank().isBestEffort(), byRank));
    }

    /** Returns the first jobs of each account for which it has unused entitlements. */
    private Set<Object> candidates(List<Waiting<T>> byRank, Entitlements entitlements) {
        Set<Object> candidates = Collections.newSetFromMap(new IdentityHashMap<>());
        Map<String, Integer> used = new HashMap<>();
        for (Waiting<T> each : byRank) {
            boolean isCandidate =
                    !each.isEntitled()
                            && !candidates.contains(each.job())
                            && used.getOrDefault(each.account(), 0)
                                    < entitlements.unused(each.account());
            if (isCandidate) {
                candidates.add(each.job());
                used.merge(each.account(), 1, Integer::sum);
            }
        }
        return candidates;
    }

    private List<Waiting<T>> select(
            List<Waiting<T>> waiting,
            Predicate<Waiting<T>> predicate,
            Comparator<Waiting<T>> order) {
        return waiting.stream().filter(predicate).sorted(order).toList();
    }
}
