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
 * Carries out the confirmed plans of which this daemon is the executor.
 *
 * <p>Each pass derives the progress of every step from a snapshot and performs the next action of
 * each step: a compare-and-swap on the pool's ledger, on a shard of host records or on the plan, or
 * a call to the platform with an operation id. An action takes effect as a whole or not at all; a
 * failed action is retried in a later pass, by this daemon or by the daemon that has taken the plan
 * over.
 *
 * <p>Invariants: a worker is drained only after its outage is recorded in the ledger of its pool;
 * an outage is recorded only if the budget is met in the snapshot that the ledger's version is
 * taken from; a worker is rebooted or moved only after every present daemon has acknowledged that
 * it has no requests in flight to the worker.
 *
 * <p>This class is thread-safe; its state is confined to its own thread, which may block.
 */
public final class PlanExecutor {
    private static final Logger LOGGER = System.getLogger(PlanExecutor.class.getName());
    private static final int RING_ENTRIES = 1_024;
    private static final long GAUGE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long MAX_PASS_AGE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final StateView mView;
    private final Membership mMembership;
    private final RecordWriter mRecordWriter;
    private final WorkerControl mWorkerControl;
    private final Metrics mMetrics;
    private final int mShards;
    private final String mDaemonName;
    private final Duty mDuty;
    private final Set<String> mFailedOperations = new HashSet<>();
    private final Map<String, Long> mStartedNanos = new HashMap<>();
    private Snapshot mSnapshot = Snapshot.EMPTY;
    private long mPassStartNanos;
    private long mLastGaugeNanos;

    /**
     * Constructs an executor that has not been started.
     *
     * @param view the stored state, not null
     * @param membership tells which daemon takes a plan over and which daemons have acknowledged a
     *     drain, not null
     * @param records writes the stored state, not null
     * @param workers the platform's worker interface, not null
     * @param metrics the metrics to update, not null
     * @param shards number of shards of host records, 1 or more
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
        mRecordWriter = records;
        mWorkerControl = workers;
        mMetrics = metrics;
        mShards = shards;
        mDaemonName = membership.self().name();
        mDuty = new Duty("fleet", RING_ENTRIES, tickMillis, this::runPass);
    }

    /** Starts the thread. */
    public void start() {
        mDuty.start();
    }

    /** Stops the thread after the pass in progress. */
    public void stop() {
        mDuty.stop();
    }

    /** Advances every active plan that this daemon executes or must take over. */
    private void runPass() {
        mSnapshot = mView.snapshot();
        mPassStartNanos = System.nanoTime();
        if (mPassStartNanos - mLastGaugeNanos > GAUGE_INTERVAL_NANOS) {
            mLastGaugeNanos = mPassStartNanos;
            recordGauges();
        }
        if (!mSnapshot.hasHostList()) {
            return;
        }
        for (Plan plan : mSnapshot.plans()) {
            if (!plan.state().isActive()) {
                continue;
            }
            if (!isResponsibleFor(plan)) {
                continue;
            }
            try {
                advance(plan);
            } catch (EndivetrayException e) {
                LOGGER.log(
                        Level.INFO,
                        () ->
                                "plan: action failed, retrying plan="
                                        + plan.id()
                                        + " code="
                                        + e.code().number()
                                        + " reason="
                                        + e.getMessage());
            }
        }
    }

    /**
     * Returns whether this daemon executes the plan or must take it over.
     *
     * <p>A plan stays with its executor while the store holds the executor's lease, so that daemons
     * with different views of which daemons are live do not take it over from each other. After
     * that, the plan's owner takes it over.
     */
    private boolean isResponsibleFor(Plan plan) {
        if (plan.executor().equals(mDaemonName)) {
            return true;
        }
        boolean isExecutorAlive =
                mSnapshot.daemons().stream()
                        .filter(daemon -> daemon.name().equals(plan.executor()))
                        .anyMatch(mSnapshot::isAlive);
        return !isExecutorAlive
                && mMembership.owner(StateKeys.PLAN + plan.id()).equals(mDaemonName);
    }

    private void advance(Plan stored) {
        if (!stored.executor().equals(mDaemonName)) {
            writePlan(stored, stored.withExecutor(mDaemonName));
            LOGGER.log(Level.INFO, () -> "plan: taken over plan=" + stored.id());
            return;
        }
        mStartedNanos.putIfAbsent(stored.id(), System.nanoTime());
        if (stored.intent().kind() == IntentKind.CONFIGURE) {
            new ConfigurationWriter(mRecordWriter, mWorkerControl, mShards)
                    .apply(mSnapshot, stored);
            finish(stored, PlanState.DONE, "");
            return;
        }
        Plan plan = PlanProgress.derive(stored, mSnapshot.fleet());
        plan = withFailedSteps(plan);
        if (plan.state() == PlanState.RUNNING && WavePacer.mustHalt(plan.steps())) {
            writePlan(stored, stored.withState(PlanState.HALTED, haltNote(plan)));
            LOGGER.log(Level.WARNING, () -> "plan: halted plan=" + stored.id());
            return;
        }
        boolean cancelling = plan.state() == PlanState.CANCELLING;
        releaseOutages(plan, cancelling);
        updateHostRecords(plan, cancelling);
        rebootWorkers(plan);
        if (!cancelling) {
            startOutages(plan);
        }
        finishIfEnded(stored, plan, cancelling);
    }

    private Plan withFailedSteps(Plan plan) {
        Plan marked = plan;
        for (PlanStep step : plan.steps()) {
            if (mFailedOperations.contains(operationId(plan, step))) {
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
        return "workers failed to return to service: " + String.join(", ", failed);
    }

    private void finishIfEnded(Plan stored, Plan plan, boolean cancelling) {
        boolean isQuiet = plan.steps().stream().noneMatch(step -> step.state().isUnderWay());
        if (cancelling && isQuiet) {
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
        releaseLock(stored.id());
    }

    private void releaseLock(String planId) {
        Snapshot snapshot = mView.snapshot();
        if (snapshot.planLocks().plans().containsKey(planId)) {
            mRecordWriter.write(
                    StateKeys.PLAN_LOCKS,
                    snapshot.version(StateKeys.PLAN_LOCKS),
                    snapshot.planLocks().minus(planId));
        }
    }

    private void writePlan(Plan stored, Plan next) {
        String key = StateKeys.PLAN + stored.id();
        mRecordWriter.write(key, mSnapshot.version(key), next);
    }

    // ---- outages

    /** Records in the ledgers the outages of steps that may start, as far as the budgets allow. */
    private void startOutages(Plan plan) {
        mSnapshot = mView.snapshot();
        Plan now = PlanProgress.derive(plan, mSnapshot.fleet());
        OutageSelector.select(withFailedSteps(now), mSnapshot.fleet())
                .forEach((pool, workers) -> startOutagesIn(plan, pool, workers));
    }

    private void startOutagesIn(Plan plan, String pool, Set<String> workers) {
        FleetView fleet = mSnapshot.fleet();
        OutageLedger ledger = fleet.ledger(pool);
        for (String worker : workers) {
            ledger = ledger.plusOutage(worker, plan.id());
        }
        requireFreshPass();
        mRecordWriter.write(ledgerKey(pool), mSnapshot.version(ledgerKey(pool)), ledger);
        int available = fleet.available(pool).size();
        int floor = fleet.pool(pool).map(known -> known.budget().floorWorkers()).orElse(0);
        for (String worker : workers) {
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
                                    + (available - workers.size())
                                    + " floor="
                                    + floor);
        }
    }

    private void releaseOutages(Plan plan, boolean cancelling) {
        Map<String, List<String>> byPool = new TreeMap<>();
        for (PlanStep step : plan.steps()) {
            boolean isReleased =
                    step.state() == StepState.RELEASING
                            || (cancelling && step.state() == StepState.RESERVED);
            if (isReleased) {
                byPool.computeIfAbsent(step.fromPool(), name -> new ArrayList<>())
                        .add(step.worker());
            }
        }
        byPool.forEach(this::releaseOutagesIn);
    }

    private void releaseOutagesIn(String pool, List<String> workers) {
        OutageLedger ledger = mSnapshot.fleet().ledger(pool);
        for (String worker : workers) {
            ledger = ledger.minusOutage(worker);
        }
        mRecordWriter.write(ledgerKey(pool), mSnapshot.version(ledgerKey(pool)), ledger);
    }

    private static String ledgerKey(String pool) {
        return StateKeys.LEDGER + pool;
    }

    // ---- host records

    private void updateHostRecords(Plan plan, boolean cancelling) {
        mSnapshot = mView.snapshot();
        Map<String, HostShard> shards = new TreeMap<>();
        int moves = 0;
        for (PlanStep step : plan.steps()) {
            HostRecord hostRecord = mSnapshot.fleet().record(step.worker()).orElse(null);
            if (hostRecord == null) {
                continue;
            }
            HostRecord next = nextHostRecord(plan, step, hostRecord, cancelling);
            if (next == null) {
                continue;
            }
            moves += next.pool().equals(hostRecord.pool()) ? 0 : 1;
            String key = StateKeys.hostShard(step.worker(), mShards);
            shards.put(key, shards.getOrDefault(key, mSnapshot.hostShard(key)).plus(next));
            LOGGER.log(
                    Level.INFO,
                    () ->
                            "plan: updating host record plan="
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
        requireFreshPass();
        shards.forEach((key, shard) -> mRecordWriter.write(key, mSnapshot.version(key), shard));
        mMetrics.onMoves(moves);
    }

    /** Returns the next version of the record, or null if it does not change in this pass. */
    private HostRecord nextHostRecord(
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
                return isIdle(hostRecord) ? recordAfterDrain(plan, step, hostRecord) : null;
            case PENDING:
                boolean isRestore = step.kind() == StepKind.RESTORE && !cancelling;
                return isRestore ? hostRecord.withState(HostState.ACTIVE, plan.id()) : null;
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
                            "plan: waiting for acknowledgements worker="
                                    + hostRecord.worker()
                                    + " daemons="
                                    + missing);
        }
        return missing.isEmpty();
    }

    private HostRecord recordAfterDrain(Plan plan, PlanStep step, HostRecord hostRecord) {
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
                        mWorkerControl.assignServices(
                                step.worker(), services, operationId(plan, step)));
                return hostRecord.withPool(step.toPool(), plan.id());
        }
    }

    private void rebootWorkers(Plan plan) {
        for (PlanStep step : plan.steps()) {
            if (step.state() != StepState.REBOOTING) {
                continue;
            }
            WorkerControl.RebootState state =
                    RecordWriter.await(
                            mWorkerControl.reboot(step.worker(), operationId(plan, step)));
            if (state == WorkerControl.RebootState.FAILED) {
                mFailedOperations.add(operationId(plan, step));
                LOGGER.log(
                        Level.WARNING,
                        () ->
                                "plan: worker failed to reboot plan="
                                        + plan.id()
                                        + " worker="
                                        + step.worker());
            } else if (state == WorkerControl.RebootState.HEALTHY
                    && isListedAvailable(step.worker())) {
                returnToService(plan, step);
            }
        }
    }

    private boolean isListedAvailable(String worker) {
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
        mRecordWriter.write(key, now.version(key), now.hostShard(key).plus(next));
        LOGGER.log(
                Level.INFO,
                () ->
                        "plan: worker returned to service plan="
                                + plan.id()
                                + " worker="
                                + step.worker());
    }

    /**
     * Throws an exception if the pass began too long ago, such as before a pause of this process.
     */
    private void requireFreshPass() {
        if (System.nanoTime() - mPassStartNanos > MAX_PASS_AGE_NANOS) {
            throw new EndivetrayException(
                    ResultCode.VERSION_CONFLICT,
                    "the pass began too long ago; the next pass reads the state again");
        }
    }

    private static String operationId(Plan plan, PlanStep step) {
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
