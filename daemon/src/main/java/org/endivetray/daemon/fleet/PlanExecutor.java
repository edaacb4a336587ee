package org.endivetray.daemon.fleet;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.endivetray.EndivetrayException;
import org.endivetray.HostRecord;
import org.endivetray.HostState;
import org.endivetray.IntentKind;
import org.endivetray.ListedHost;
import org.endivetray.OutageLedger;
import org.endivetray.Plan;
import org.endivetray.PlanState;
import org.endivetray.PlanStep;
import org.endivetray.Pool;
import org.endivetray.ResultCode;
import org.endivetray.ServiceDeclaration;
import org.endivetray.StepKind;
import org.endivetray.StepState;
import org.endivetray.daemon.duty.Duty;
import org.endivetray.daemon.membership.Membership;
import org.endivetray.daemon.observe.Metrics;
import org.endivetray.daemon.state.HostShard;
import org.endivetray.daemon.state.Snapshot;
import org.endivetray.daemon.state.StateKeys;
import org.endivetray.daemon.state.StateView;
import org.endivetray.platform.WorkerControl;
import org.endivetray.policy.FleetView;
import org.endivetray.policy.OutageSelector;
import org.endivetray.policy.PlanProgress;
import org.endivetray.policy.WavePacer;

/**
 * Carries out the confirmed plans that this daemon owns.
 *
 * <p>Each pass reads one snapshot, derives how far each step has come, and takes the next small
 * effect of each step: a compare-and-swap on the pool's ledger, on a shard of host records or on
 * the plan, or a call to the platform with an operation id. An effect that fails changes nothing
 * and is tried again in a later pass, here or on the daemon that took over.
 *
 * <p>Invariants: a worker is drained only after its outage stands in its pool's ledger; the ledger
 * takes an outage only if the budget holds by the same snapshot that gave the ledger's version; a
 * worker is rebooted or moved only after every present daemon has acknowledged that nothing is in
 * flight to it.
 *
 * <p>This class is thread-safe; its state belongs to its own thread, which may wait.
 */
public final class PlanExecutor {
    private static final Logger LOGGER = System.getLogger(PlanExecutor.class.getName());
    private static final int RING_ENTRIES = 1_024;
    private static final long GAUGE_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long STALE_PASS_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final StateView mView;
    private final Membership mMembership;
    private final RecordWriter mRecords;
    private final WorkerControl mWorkers;
    private final Metrics mMetrics;
    private final int mShards;
    private final String mName;
    private final Duty mDuty;
    private final Set<String> mFailed = new HashSet<>();
    private final Map<String, Long> mStartedNanos = new HashMap<>();
    private Snapshot mSnapshot = Snapshot.EMPTY;
    private long mPassNanos;
    private long mGaugedNanos;

    /**
     * Constructs an executor that has not been started.
     *
     * @param view the stored state, not null
     * @param membership says which plans this daemon owns, not null
     * @param records changes the stored state, not null
     * @param workers the platform's worker interface, not null
     * @param metrics records plans and moves, not null
     * @param shards number of shards of host records
     * @param tickMillis time between passes, in milliseconds
     */
    public PlanExecutor(
            StateView view,
            Membership membership,
            RecordWriter records,
            WorkerControl workers,
            Metrics metrics,
            int shards,
            long tickMillis) {
        mView = view;
        mMembership = membership;
        mRecords = records;
        mWorkers = workers;
        mMetrics = metrics;
        mShards = shards;
        mName = membership.self().name();
        mDuty = new Duty("fleet", RING_ENTRIES, tickMillis, this::pass);
    }

    /** Starts the thread. */
    public void start() {
        mDuty.start();
    }

    /** Stops the thread after the effect that is under way. */
    public void stop() {
        mDuty.stop();
    }

    /** Takes one step of every plan that this daemon owns. */
    private void pass() {
        mSnapshot = mView.snapshot();
        mPassNanos = System.nanoTime();
        if (mPassNanos - mGaugedNanos > GAUGE_NANOS) {
            mGaugedNanos = mPassNanos;
            recordGauges();
        }
        if (!mSnapshot.hasHostList()) {
            return;
        }
        for (Plan plan : mSnapshot.plans()) {
            if (!plan.state().isActive()) {
                continue;
            }
            if (!isMine(plan)) {
                continue;
            }
            try {
                advance(plan);
            } catch (EndivetrayException e) {
                LOGGER.log(
                        Level.INFO,
                        () ->
                                "plan: effect failed plan="
                                        + plan.id()
                                        + " code="
                                        + e.code().number()
                                        + " reason="
                                        + e.getMessage());
            }
        }
    }

    /**
     * Returns whether this daemon carries the plan out, or must take it over.
     *
     * <p>A plan stays with its executor while the store holds the executor's lease, so that daemons
     * that disagree on who is live do not take it from each other.
     */
    private boolean isMine(Plan plan) {
        if (plan.executor().equals(mName)) {
            return true;
        }
        boolean executorLives =
                mSnapshot.daemons().stream()
                        .filter(daemon -> daemon.name().equals(plan.executor()))
                        .anyMatch(mSnapshot::isAlive);
        return !executorLives && mMembership.owner(StateKeys.PLAN + plan.id()).equals(mName);
    }

    private void advance(Plan stored) {
        if (!stored.executor().equals(mName)) {
            writePlan(stored, stored.withExecutor(mName));
            LOGGER.log(Level.INFO, () -> "plan: taken over plan=" + stored.id());
            return;
        }
        mStartedNanos.putIfAbsent(stored.id(), System.nanoTime());
        if (stored.intent().kind() == IntentKind.CONFIGURE) {
            new ConfigurationWriter(mRecords, mWorkers, mShards).apply(mSnapshot, stored);
            finish(stored, PlanState.DONE, "");
            return;
        }
        Plan plan = PlanProgress.derive(stored, mSnapshot.fleet());
        plan = markFailed(plan);
        if (plan.state() == PlanState.RUNNING && WavePacer.mustHalt(plan.steps())) {
            writePlan(stored, stored.withState(PlanState.HALTED, haltNote(plan)));
            LOGGER.log(Level.WARNING, () -> "plan: halted plan=" + stored.id());
            return;
        }
        boolean cancelling = plan.state() == PlanState.CANCELLING;
        releaseOutages(plan, cancelling);
        changeRecords(plan, cancelling);
        reboot(plan);
        if (!cancelling) {
            takeOut(plan);
        }
        finishIfEnded(stored, plan, cancelling);
    }

    private Plan markFailed(Plan plan) {
        Plan marked = plan;
        for (PlanStep step : plan.steps()) {
            if (mFailed.contains(operation(plan, step))) {
                marked = marked.mapStep(step.worker(), known -> known.withState(StepState.FAILED));
            }
        }
        return marked;
    }

    private static String haltNote(Plan plan) {
        List<String> failed =
                plan.steps().stream()
                        .filter(step -> step.state() == StepState.FAILED)
                        .map(PlanStep::worker)
                        .toList();
        return "workers did not come back: " + String.join(", ", failed);
    }

    private void finishIfEnded(Plan stored, Plan plan, boolean cancelling) {
        boolean quiet = plan.steps().stream().noneMatch(step -> step.state().isUnderWay());
        if (cancelling && quiet) {
            finish(stored, PlanState.CANCELLED, "cancelled by an operator");
        } else if (plan.isFinished()) {
            long failed =
                    plan.steps().stream().filter(step -> step.state() == StepState.FAILED).count();
            finish(stored, PlanState.DONE, failed == 0 ? "" : haltNote(plan));
        }
    }

    private void finish(Plan stored, PlanState state, String note) {
        writePlan(stored, stored.withState(state, note));
        Long started = mStartedNanos.remove(stored.id());
        if (started != null) {
            mMetrics.onRollout((System.nanoTime() - started) / 1e9);
        }
        LOGGER.log(Level.INFO, () -> "plan: ended plan=" + stored.id() + " state=" + state);
        releaseHold(stored.id());
    }

    private void releaseHold(String planId) {
        Snapshot snapshot = mView.snapshot();
        if (snapshot.planLocks().plans().containsKey(planId)) {
            mRecords.write(
                    StateKeys.PLAN_LOCKS,
                    snapshot.version(StateKeys.PLAN_LOCKS),
                    snapshot.planLocks().minus(planId));
        }
    }

    private void writePlan(Plan stored, Plan next) {
        String key = StateKeys.PLAN + stored.id();
        mRecords.write(key, mSnapshot.version(key), next);
    }

    // ---- outages

    /** Puts outages of steps that may start into the ledgers, as far as the budgets allow. */
    private void takeOut(Plan plan) {
        mSnapshot = mView.snapshot();
        Plan now = PlanProgress.derive(plan, mSnapshot.fleet());
        OutageSelector.select(markFailed(now), mSnapshot.fleet())
                .forEach((pool, workers) -> takeOutOf(plan, pool, workers));
    }

    private void takeOutOf(Plan plan, String pool, Set<String> allowed) {
        FleetView fleet = mSnapshot.fleet();
        OutageLedger ledger = fleet.ledger(pool);
        for (String worker : allowed) {
            ledger = ledger.plusOutage(worker, plan.id());
        }
        requireFresh();
        mRecords.write(ledgerKey(pool), mSnapshot.version(ledgerKey(pool)), ledger);
        int available = fleet.available(pool).size();
        int floor = fleet.pool(pool).map(known -> known.budget().floorWorkers()).orElse(0);
        for (String worker : allowed) {
            LOGGER.log(
                    Level.INFO,
                    () ->
                            "plan: host taken out plan="
                                    + plan.id()
                                    + " worker="
                                    + worker
                                    + " pool="
                                    + pool
                                    + " available="
                                    + (available - allowed.size())
                                    + " floor="
                                    + floor);
        }
    }

    private void releaseOutages(Plan plan, boolean cancelling) {
        Map<String, List<String>> byPool = new TreeMap<>();
        for (PlanStep step : plan.steps()) {
            boolean release =
                    step.state() == StepState.RELEASING
                            || (cancelling && step.state() == StepState.RESERVED);
            if (release) {
                byPool.computeIfAbsent(step.fromPool(), name -> new ArrayList<>())
                        .add(step.worker());
            }
        }
        byPool.forEach(this::releaseFrom);
    }

    private void releaseFrom(String pool, List<String> workers) {
        OutageLedger ledger = mSnapshot.fleet().ledger(pool);
        for (String worker : workers) {
            ledger = ledger.minusOutage(worker);
        }
        mRecords.write(ledgerKey(pool), mSnapshot.version(ledgerKey(pool)), ledger);
    }

    private static String ledgerKey(String pool) {
        return StateKeys.LEDGER + pool;
    }

    // ---- host records

    private void changeRecords(Plan plan, boolean cancelling) {
        mSnapshot = mView.snapshot();
        Map<String, HostShard> shards = new TreeMap<>();
        int moves = 0;
        for (PlanStep step : plan.steps()) {
            HostRecord hostRecord = mSnapshot.fleet().record(step.worker()).orElse(null);
            if (hostRecord == null) {
                continue;
            }
            HostRecord next = nextRecord(plan, step, hostRecord, cancelling);
            if (next == null) {
                continue;
            }
            moves += next.pool().equals(hostRecord.pool()) ? 0 : 1;
            String key = StateKeys.hostShard(step.worker(), mShards);
            shards.put(key, shards.getOrDefault(key, mSnapshot.hostShard(key)).plus(next));
            LOGGER.log(
                    Level.INFO,
                    () ->
                            "plan: host changes plan="
                                    + plan.id()
                                    + " worker="
                                    + step.worker()
                                    + " pool="
                                    + next.pool()
                                    + " state="
                                    + next.state()
                                    + " epoch="
                                    + next.epoch());
        }
        requireFresh();
        shards.forEach((key, shard) -> mRecords.write(key, mSnapshot.version(key), shard));
        mMetrics.onMoves(moves);
    }

    /** Returns the record's next form, or null if it stays as it is for now. */
    private HostRecord nextRecord(
            Plan plan, PlanStep step, HostRecord hostRecord, boolean cancelling) {
        switch (step.state()) {
            case RESERVED:
                return cancelling || hostRecord.state() != HostState.ACTIVE
                        ? null
                        : hostRecord.withState(HostState.DRAINING, plan.id());
            case DRAINING:
                if (cancelling) {
                    return hostRecord.withState(HostState.ACTIVE, plan.id());
                }
                return isIdle(hostRecord) ? drained(plan, step, hostRecord) : null;
            case PENDING:
                boolean restores = step.kind() == StepKind.RESTORE && !cancelling;
                return restores ? hostRecord.withState(HostState.ACTIVE, plan.id()) : null;
            default:
                return null;
        }
    }

    private boolean isIdle(HostRecord hostRecord) {
        List<String> missing = mMembership.missingIdleAcks(hostRecord.worker(), hostRecord.epoch());
        if (!missing.isEmpty()) {
            LOGGER.log(
                    Level.DEBUG,
                    () ->
                            "plan: waits for acknowledgement worker="
                                    + hostRecord.worker()
                                    + " daemons="
                                    + missing);
        }
        return missing.isEmpty();
    }

    private HostRecord drained(Plan plan, PlanStep step, HostRecord hostRecord) {
        switch (step.kind()) {
            case DRAIN:
                return hostRecord.withState(HostState.DRAINED, plan.id());
            case MAINTAIN:
                return hostRecord.withState(HostState.REBOOTING, plan.id());
            default:
                List<String> services =
                        mSnapshot
                                .fleet()
                                .pool(step.toPool())
                                .map(Pool::services)
                                .orElse(List.of())
                                .stream()
                                .map(ServiceDeclaration::name)
                                .toList();
                RecordWriter.await(
                        mWorkers.assignServices(step.worker(), services, operation(plan, step)));
                return hostRecord.withPool(step.toPool(), plan.id());
        }
    }

    private void reboot(Plan plan) {
        for (PlanStep step : plan.steps()) {
            if (step.state() != StepState.REBOOTING) {
                continue;
            }
            WorkerControl.RebootState state =
                    RecordWriter.await(mWorkers.reboot(step.worker(), operation(plan, step)));
            if (state == WorkerControl.RebootState.FAILED) {
                mFailed.add(operation(plan, step));
                LOGGER.log(
                        Level.WARNING,
                        () ->
                                "plan: worker did not come back plan="
                                        + plan.id()
                                        + " worker="
                                        + step.worker());
            } else if (state == WorkerControl.RebootState.HEALTHY && isListedLive(step.worker())) {
                returnToService(plan, step);
            }
        }
    }

    private boolean isListedLive(String worker) {
        return mView.snapshot()
                .fleet()
                .listed(worker)
                .map(ListedHost::status)
                .filter(status -> status.isAvailable())
                .isPresent();
    }

    private void returnToService(Plan plan, PlanStep step) {
        String key = StateKeys.hostShard(step.worker(), mShards);
        Snapshot now = mView.snapshot();
        HostRecord hostRecord = now.fleet().record(step.worker()).orElseThrow();
        HostRecord next = hostRecord.withState(HostState.ACTIVE, plan.id());
        mRecords.write(key, now.version(key), now.hostShard(key).plus(next));
        LOGGER.log(
                Level.INFO,
                () -> "plan: host returned plan=" + plan.id() + " worker=" + step.worker());
    }

    /** Fails if the pass began too long ago, as after a pause of this process. */
    private void requireFresh() {
        if (System.nanoTime() - mPassNanos > STALE_PASS_NANOS) {
            throw new EndivetrayException(
                    ResultCode.VERSION_CONFLICT, "the pass is too old; the state is read again");
        }
    }

    private static String operation(Plan plan, PlanStep step) {
        return plan.id() + "/" + step.worker() + "/" + step.stage();
    }

    private void recordGauges() {
        FleetView fleet = mSnapshot.fleet();
        for (Pool pool : fleet.pools()) {
            int available = fleet.available(pool.name()).size();
            mMetrics.onPoolCapacity(
                    pool.name(), available, available - pool.budget().floorWorkers());
        }
        mMetrics.onConfigRevision(mSnapshot.revision());
        mMetrics.onPlansRunning(
                (int) mSnapshot.plans().stream().filter(plan -> plan.state().isActive()).count());
    }
}
