package org.endivetray.daemon.job.shard;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.endivetray.job.TaskId;

/**
 * The runs of earlier owners that this owner may not know yet, since their minions have not
 * answered it.
 *
 * <p>On a closed minion only the tasks that its record names can have runs; on an open one any task
 * of a job that an earlier owner knew.
 *
 * <p>Invariants: nothing is unknown any more once the longest lease that an earlier owner can have
 * extended has ended.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class InheritedRuns {
    private final Set<String> mOpenMinions = new HashSet<>();
    private final Map<String, Set<String>> mClosedMinions = new HashMap<>();
    private long mLeaseEndNanos;

    /**
     * Sets the time after which no lease that an earlier owner has extended can be in force.
     *
     * @param nanos time of the monotonic clock, in nanoseconds
     */
    void setLeaseEnd(long nanos) {
        mLeaseEndNanos = nanos;
    }

    /** Returns the time after which no lease that an earlier owner has extended is in force. */
    long leaseEndNanos() {
        return mLeaseEndNanos;
    }

    /** Adds a minion that has not answered this owner and may run any inherited task. */
    void addOpen(String minion) {
        mOpenMinions.add(minion);
    }

    /** Adds a minion that has not answered this owner and may run the given tasks only. */
    void addClosed(String minion, Set<String> tasks) {
        mClosedMinions.put(minion, tasks);
    }

    /** Records that all runs on a minion are known. */
    void onReconciled(String minion) {
        mOpenMinions.remove(minion);
        mClosedMinions.remove(minion);
    }

    /** Returns whether all minions have answered. */
    boolean isReconciled() {
        return mOpenMinions.isEmpty() && mClosedMinions.isEmpty();
    }

    /** Returns the ids of the open minions that have not answered. */
    Set<String> openMinions() {
        return mOpenMinions;
    }

    /** Returns the ids of the closed minions that have not answered. */
    Set<String> closedMinions() {
        return mClosedMinions.keySet();
    }

    /**
     * Returns the tasks that may have unknown runs on a minion, empty if it may be any task.
     *
     * @param minion id of the minion, not null
     * @param nowNanos time of the monotonic clock, in nanoseconds
     */
    Optional<Set<String>> tasksOn(String minion, long nowNanos) {
        if (nowNanos - mLeaseEndNanos >= 0) {
            return Optional.of(Set.of());
        }
        return mOpenMinions.contains(minion)
                ? Optional.empty()
                : Optional.of(mClosedMinions.getOrDefault(minion, Set.of()));
    }

    /** Returns whether any unknown run may exist. */
    boolean mayExist(long nowNanos) {
        return mayIncludeAny(task -> true, nowNanos);
    }

    /** Returns whether any task of an inherited job may have an unknown run. */
    boolean mayIncludeTaskOf(String job, long nowNanos) {
        return mayIncludeAny(
                task -> TaskId.parse(task).map(id -> id.job().equals(job)).orElse(true), nowNanos);
    }

    /** Returns whether a task of an inherited job may have an unknown run. */
    boolean mayInclude(String task, long nowNanos) {
        return nowNanos - mLeaseEndNanos < 0
                && (!mOpenMinions.isEmpty()
                        || mClosedMinions.values().stream()
                                .anyMatch(tasks -> tasks.contains(task)));
    }

    private boolean mayIncludeAny(Predicate<String> isSought, long nowNanos) {
        return nowNanos - mLeaseEndNanos < 0
                && (!mOpenMinions.isEmpty()
                        || mClosedMinions.values().stream()
                                .anyMatch(tasks -> tasks.stream().anyMatch(isSought)));
    }
}
