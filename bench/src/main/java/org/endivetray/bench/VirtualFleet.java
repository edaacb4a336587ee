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
 * A fake store and fake hosts on a virtual clock, driven by the real decisions.
 *
 * <p>This class is not thread-safe.
 */
final class VirtualFleet {
    /** Time to drain a worker, in seconds. */
    static final double DRAIN_SECONDS = 5;

    /** Time to reboot a worker, in seconds. */
    static final double REBOOT_SECONDS = 60;

    private final Map<String, Pool> mPools = new TreeMap<>();
    private final Map<String, HostRecord> mRecords = new TreeMap<>();
    private final Map<String, OutageLedger> mLedgers = new HashMap<>();
    private final Map<String, ListedHost> mListed = new TreeMap<>();
    private final Map<String, Double> mDueSeconds = new HashMap<>();
    private final Set<String> mFailing = new HashSet<>();
    private double mNow;
    private int mWrites;
    private int mMoves;
    private int mViolations;
    private int mDoublePool;
    private double mIdleSum;
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
        return mNow;
    }

    int storeWrites() {
        return mWrites;
    }

    int moves() {
        return mMoves;
    }

    int budgetViolations() {
        return mViolations;
    }

    int multiPoolWorkers() {
        return mDoublePool;
    }

    double bufferShare() {
        return mIdleSamples == 0 ? 0 : mIdleSum / mIdleSamples;
    }

    /** Takes a rack down without a plan. */
    void failRack(String rack) {
        mListed.replaceAll(
                (worker, host) ->
                        host.rack().equals(rack) ? host.withStatus(ListedStatus.DOWN) : host);
    }

    /** Brings a rack back. */
    void restoreRack(String rack) {
        mListed.replaceAll(
                (worker, host) ->
                        host.rack().equals(rack) && !mDueSeconds.containsKey(worker)
                                ? host.withStatus(ListedStatus.LIVE)
                                : host);
    }

    /** Makes the worker's reboots fail. */
    void failReboots(String worker) {
        mFailing.add(worker);
    }

    boolean failsReboots(String worker) {
        return mFailing.contains(worker);
    }

    /** Moves the clock on and finishes what is due. */
    void advanceClock(double seconds) {
        mNow += seconds;
    }

    void reserveOutages(Plan plan, String pool, Set<String> workers) {
        OutageLedger ledger = view().ledger(pool);
        for (String worker : workers) {
            ledger = ledger.plusOutage(worker, plan.id());
        }
        mLedgers.put(pool, ledger);
        mWrites++;
    }

    /** Takes the next effect of each step that is under way; groups writes as the executor does. */
    void advanceSteps(Plan plan) {
        Set<String> touchedShards = new HashSet<>();
        Set<String> touchedLedgers = new HashSet<>();
        for (PlanStep step : plan.steps()) {
            HostRecord before = mRecords.get(step.worker());
            stepOne(plan, step);
            if (mRecords.get(step.worker()) != before) {
                touchedShards.add("" + Math.floorMod(step.worker().hashCode(), 64));
            }
            if (step.state() == StepState.RELEASING) {
                touchedLedgers.add(step.fromPool());
            }
        }
        mWrites += touchedShards.size() + touchedLedgers.size();
    }

    private void stepOne(Plan plan, PlanStep step) {
        HostRecord known = mRecords.get(step.worker());
        switch (step.state()) {
            case RESERVED -> {
                mRecords.put(step.worker(), known.withState(HostState.DRAINING, plan.id()));
                mDueSeconds.put(step.worker(), mNow + DRAIN_SECONDS);
            }
            case DRAINING -> {
                if (isDue(step)) {
                    drained(plan, step, known);
                }
            }
            case REBOOTING -> {
                if (isDue(step) && !mFailing.contains(step.worker())) {
                    mDueSeconds.remove(step.worker());
                    setStatus(step.worker(), ListedStatus.LIVE);
                    mRecords.put(step.worker(), known.withState(HostState.ACTIVE, plan.id()));
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
        return mDueSeconds.getOrDefault(step.worker(), 0.0) <= mNow;
    }

    private void drained(Plan plan, PlanStep step, HostRecord known) {
        if (step.kind() == StepKind.DRAIN) {
            mRecords.put(step.worker(), known.withState(HostState.DRAINED, plan.id()));
        } else if (step.kind() == StepKind.MOVE) {
            mRecords.put(step.worker(), known.withPool(step.toPool(), plan.id()));
            mMoves++;
        } else {
            mRecords.put(step.worker(), known.withState(HostState.REBOOTING, plan.id()));
            setStatus(step.worker(), ListedStatus.DOWN);
            mDueSeconds.put(step.worker(), mNow + REBOOT_SECONDS);
        }
    }

    private void setStatus(String worker, ListedStatus status) {
        mListed.computeIfPresent(worker, (name, host) -> host.withStatus(status));
    }

    /**
     * Counts budgets that plans broke, and idle capacity; failures alone break no plan's budget.
     */
    void sample(Set<String> failedRacks) {
        FleetView view = view();
        Set<String> seen = new HashSet<>();
        for (Pool pool : mPools.values()) {
            int outages = view.ledger(pool.name()).outages().size();
            boolean broken =
                    BudgetCheck.check(pool.budget(), view.available(pool.name()), outages)
                            .isPresent();
            boolean failed =
                    view.recordsOf(pool.name()).stream()
                            .anyMatch(known -> isFailed(known, failedRacks));
            if (broken && !failed) {
                mViolations++;
            }
            int workers = view.recordsOf(pool.name()).size();
            int idle = view.available(pool.name()).size() - pool.budget().floorWorkers();
            mIdleSum += workers == 0 ? 0 : (double) Math.max(0, idle) / workers;
            mIdleSamples++;
            view.recordsOf(pool.name())
                    .forEach(known -> mDoublePool += seen.add(known.worker()) ? 0 : 1);
        }
    }

    private boolean isFailed(HostRecord known, Set<String> failedRacks) {
        ListedHost host = mListed.get(known.worker());
        return failedRacks.contains(host.rack()) || mFailing.contains(known.worker());
    }
}
