package org.endivetray.bench;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.endivetray.HostRecord;
import org.endivetray.HostState;
import org.endivetray.ListedHost;
import org.endivetray.ListedStatus;
import org.endivetray.OutageLedger;
import org.endivetray.Plan;
import org.endivetray.PlanStep;
import org.endivetray.Pool;
import org.endivetray.StepKind;
import org.endivetray.StepState;
import org.endivetray.policy.BudgetCheck;
import org.endivetray.policy.FleetView;

/**
 * Simulates a store and hosts on a virtual clock; plans and budget checks are those of the daemon.
 *
 * <p>This class is not thread-safe.
 */
final class VirtualFleet {
    static final double DRAIN_SECONDS = 5;

    static final double REBOOT_SECONDS = 60;

    private final Map<String, Pool> mPools = new TreeMap<>();
    private final Map<String, HostRecord> mRecords = new TreeMap<>();
    private final Map<String, OutageLedger> mLedgers = new HashMap<>();
    private final Map<String, ListedHost> mListed = new TreeMap<>();
    private final Map<String, Double> mStepEndSeconds = new HashMap<>();
    private final Set<String> mWorkersFailingReboot = new HashSet<>();
    private double mNowSeconds;
    private int mStoreWrites;
    private int mMoves;
    private int mBudgetViolations;
    private int mMultiPoolWorkers;
    private double mIdleShareSum;
    private int mIdleSamples;

    void addPool(Pool pool) {
        mPools.put(pool.name(), pool);
    }

    void addWorker(ListedHost host, String pool) {
        mListed.put(host.worker(), host);
        mRecords.put(host.worker(), HostRecord.ofActive(host.worker(), pool));
    }

    FleetView view() {
        return new FleetView(mPools, mRecords, mLedgers, mListed);
    }

    double nowSeconds() {
        return mNowSeconds;
    }

    int storeWrites() {
        return mStoreWrites;
    }

    int moves() {
        return mMoves;
    }

    int budgetViolations() {
        return mBudgetViolations;
    }

    int multiPoolWorkers() {
        return mMultiPoolWorkers;
    }

    double bufferShare() {
        return mIdleSamples == 0 ? 0 : mIdleShareSum / mIdleSamples;
    }

    /** Marks the hosts of a rack as down, as an unplanned outage does. */
    void failRack(String rack) {
        mListed.replaceAll(
                (worker, host) ->
                        host.rack().equals(rack) ? host.withStatus(ListedStatus.DOWN) : host);
    }

    /** Marks the hosts of a rack as live, except those with a planned drain or reboot. */
    void restoreRack(String rack) {
        mListed.replaceAll(
                (worker, host) ->
                        host.rack().equals(rack) && !mStepEndSeconds.containsKey(worker)
                                ? host.withStatus(ListedStatus.LIVE)
                                : host);
    }

    /** Makes all reboots of the worker fail. */
    void failReboots(String worker) {
        mWorkersFailingReboot.add(worker);
    }

    boolean failsReboots(String worker) {
        return mWorkersFailingReboot.contains(worker);
    }

    /** Advances the clock; steps that become due end in the next {@link #advanceSteps}. */
    void advanceClock(double seconds) {
        mNowSeconds += seconds;
    }

    void reserveOutages(Plan plan, String pool, Set<String> workers) {
        OutageLedger ledger = view().ledger(pool);
        for (String worker : workers) {
            ledger = ledger.plusOutage(worker, plan.id());
        }
        mLedgers.put(pool, ledger);
        mStoreWrites++;
    }

    /**
     * Advances each step that is under way. As in the executor, the changes of one host shard or
     * one outage ledger count as one store write.
     */
    void advanceSteps(Plan plan) {
        Set<String> changedShards = new HashSet<>();
        Set<String> changedLedgers = new HashSet<>();
        for (PlanStep step : plan.steps()) {
            HostRecord before = mRecords.get(step.worker());
            advanceStep(plan, step);
            if (mRecords.get(step.worker()) != before) {
                changedShards.add("" + Math.floorMod(step.worker().hashCode(), 64));
            }
            if (step.state() == StepState.RELEASING) {
                changedLedgers.add(step.fromPool());
            }
        }
        mStoreWrites += changedShards.size() + changedLedgers.size();
    }

    private void advanceStep(Plan plan, PlanStep step) {
        HostRecord hostRecord = mRecords.get(step.worker());
        switch (step.state()) {
            case RESERVED -> {
                mRecords.put(step.worker(), hostRecord.withState(HostState.DRAINING, plan.id()));
                mStepEndSeconds.put(step.worker(), mNowSeconds + DRAIN_SECONDS);
            }
            case DRAINING -> {
                if (isDue(step)) {
                    onDrained(plan, step, hostRecord);
                }
            }
            case REBOOTING -> {
                if (isDue(step) && !mWorkersFailingReboot.contains(step.worker())) {
                    mStepEndSeconds.remove(step.worker());
                    setStatus(step.worker(), ListedStatus.LIVE);
                    mRecords.put(step.worker(), hostRecord.withState(HostState.ACTIVE, plan.id()));
                }
            }
            case RELEASING -> {
                OutageLedger ledger = view().ledger(step.fromPool());
                mLedgers.put(step.fromPool(), ledger.minusOutage(step.worker()));
            }
            default -> {}
        }
    }

    private boolean isDue(PlanStep step) {
        return mStepEndSeconds.getOrDefault(step.worker(), 0.0) <= mNowSeconds;
    }

    private void onDrained(Plan plan, PlanStep step, HostRecord hostRecord) {
        if (step.kind() == StepKind.DRAIN) {
            mRecords.put(step.worker(), hostRecord.withState(HostState.DRAINED, plan.id()));
        } else if (step.kind() == StepKind.MOVE) {
            mRecords.put(step.worker(), hostRecord.withPool(step.toPool(), plan.id()));
            mMoves++;
        } else {
            mRecords.put(step.worker(), hostRecord.withState(HostState.REBOOTING, plan.id()));
            setStatus(step.worker(), ListedStatus.DOWN);
            mStepEndSeconds.put(step.worker(), mNowSeconds + REBOOT_SECONDS);
        }
    }

    private void setStatus(String worker, ListedStatus status) {
        mListed.computeIfPresent(worker, (name, host) -> host.withStatus(status));
    }

    /**
     * Samples budget violations, idle capacity and workers in several pools. A violation in a pool
     * with an injected failure is not counted, as the plan may not be its cause.
     */
    void sample(Set<String> failedRacks) {
        FleetView view = view();
        Set<String> seen = new HashSet<>();
        for (Pool pool : mPools.values()) {
            int outages = view.ledger(pool.name()).outages().size();
            boolean isBroken =
                    BudgetCheck.check(pool.budget(), view.available(pool.name()), outages)
                            .isPresent();
            boolean hasFailure =
                    view.recordsOf(pool.name()).stream()
                            .anyMatch(hostRecord -> hasInjectedFailure(hostRecord, failedRacks));
            if (isBroken && !hasFailure) {
                mBudgetViolations++;
            }
            int workers = view.recordsOf(pool.name()).size();
            int idleWorkers = view.available(pool.name()).size() - pool.budget().floorWorkers();
            mIdleShareSum += workers == 0 ? 0 : (double) Math.max(0, idleWorkers) / workers;
            mIdleSamples++;
            view.recordsOf(pool.name())
                    .forEach(
                            hostRecord ->
                                    mMultiPoolWorkers += seen.add(hostRecord.worker()) ? 0 : 1);
        }
    }

    private boolean hasInjectedFailure(HostRecord hostRecord, Set<String> failedRacks) {
        ListedHost host = mListed.get(hostRecord.worker());
        return failedRacks.contains(host.rack())
                || mWorkersFailingReboot.contains(hostRecord.worker());
    }
}
