package org.endivetray.daemon.fleet;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.endivetray.EndivetrayException;
import org.endivetray.HostRecord;
import org.endivetray.Intent;
import org.endivetray.IntentKind;
import org.endivetray.ListedHost;
import org.endivetray.Plan;
import org.endivetray.PlanState;
import org.endivetray.Pool;
import org.endivetray.ResultCode;
import org.endivetray.daemon.duty.Duty;
import org.endivetray.daemon.state.PlanLocks;
import org.endivetray.daemon.state.Snapshot;
import org.endivetray.daemon.state.StateKeys;
import org.endivetray.daemon.state.StateView;
import org.endivetray.policy.BudgetCheck;
import org.endivetray.policy.FleetView;
import org.endivetray.policy.PlanDraft;
import org.endivetray.policy.PlanProgress;
import org.endivetray.policy.Planner;

/**
 * Carries out operators' commands on plans: makes them from intents, and confirms, cancels, pauses
 * and resumes them.
 *
 * <p>A plan is confirmed only if the state from which it was made is unchanged; otherwise a fresh
 * plan is proposed and named in the error. Of two plans that need the same worker, pool or member,
 * the one confirmed first wins, and the error for the other names that plan and its operator.
 *
 * <p>Invariants: a running plan has its workers, pools and members locked in the stored {@link
 * PlanLocks}.
 *
 * <p>This class is thread-safe; commands run one at a time on its own thread.
 */
public final class PlanService {
    private static final Logger LOGGER = System.getLogger(PlanService.class.getName());
    private static final int RING_ENTRIES = 256;
    private static final long TICK_MILLIS = 100;
    private static final int ID_BYTES = 5;
    private static final Pattern NAME_PATTERN = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

    private final StateView mView;
    private final RecordWriter mRecordWriter;
    private final SecureRandom mRandom = new SecureRandom();
    private final Duty mDuty;

    /**
     * Constructs a service that has not been started.
     *
     * @param view the stored state, not null
     * @param records writes the stored state, not null
     */
    public PlanService(StateView view, RecordWriter records) {
        mView = view;
        mRecordWriter = records;
        mDuty = new Duty("operators", RING_ENTRIES, TICK_MILLIS, () -> {});
    }

    /** Starts the thread. */
    public void start() {
        mDuty.start();
    }

    /** Stops the thread after the command in progress. */
    public void stop() {
        mDuty.stop();
    }

    /**
     * Makes a plan for an intent and stores it as a proposal.
     *
     * @param operator the name of the requesting operator, not null
     * @param intent the requested change, not null
     */
    public CompletableFuture<Plan> propose(String operator, Intent intent) {
        return submit(() -> proposeNow(operator, intent));
    }

    /**
     * Confirms a proposed plan, which starts it.
     *
     * @param id the plan's id, not null
     */
    public CompletableFuture<Plan> confirm(String id) {
        return submit(() -> confirmNow(id));
    }

    /**
     * Cancels a plan; steps in progress are completed or rolled back.
     *
     * @param id the plan's id, not null
     */
    public CompletableFuture<Plan> cancel(String id) {
        return submit(() -> cancelNow(id));
    }

    /**
     * Resumes a halted plan.
     *
     * @param id the plan's id, not null
     */
    public CompletableFuture<Plan> resume(String id) {
        return submit(() -> resumeNow(id));
    }

    /**
     * Halts a running plan; its steps stay as they are until it is resumed or cancelled.
     *
     * @param id the plan's id, not null
     */
    public CompletableFuture<Plan> pause(String id) {
        return submit(() -> pauseNow(id));
    }

    /** Returns the plan with the progress of its steps, or empty if it does not exist. */
    public Optional<Plan> plan(String id) {
        Snapshot snapshot = mView.snapshot();
        return snapshot.plan(id).map(plan -> withProgress(snapshot, plan));
    }

    /** Returns all plans with the progress of their steps. */
    public List<Plan> plans() {
        Snapshot snapshot = mView.snapshot();
        return snapshot.plans().stream().map(plan -> withProgress(snapshot, plan)).toList();
    }

    private static Plan withProgress(Snapshot snapshot, Plan plan) {
        boolean isConfirmed = plan.state() != PlanState.PROPOSED;
        return isConfirmed ? PlanProgress.derive(plan, snapshot.fleet()) : plan;
    }

    private <T> CompletableFuture<T> submit(Supplier<T> command) {
        CompletableFuture<T> result = new CompletableFuture<>();
        boolean accepted =
                mDuty.offer(
                        () -> {
                            try {
                                result.complete(command.get());
                            } catch (RuntimeException e) {
                                result.completeExceptionally(e);
                            }
                        });
        if (!accepted) {
            result.completeExceptionally(
                    new EndivetrayException(
                            ResultCode.RING_FULL, "too many operator commands are pending"));
        }
        return result;
    }

    private Plan proposeNow(String operator, Intent intent) {
        Snapshot snapshot = mView.snapshot();
        if (!snapshot.hasHostList()) {
            throw new EndivetrayException(
                    ResultCode.PLATFORM_UNAVAILABLE, "the host list has not been read yet");
        }
        if (intent.kind() == IntentKind.CONFIGURE) {
            checkConfiguration(snapshot, intent);
        }
        PlanDraft draft = Planner.plan(snapshot.fleet(), intent);
        Plan plan =
                Plan.ofProposal(
                        newId(),
                        operator,
                        intent,
                        PlanBasis.of(snapshot, intent, draft.steps()),
                        draft.steps(),
                        draft.estimate());
        mRecordWriter.write(StateKeys.PLAN + plan.id(), 0, plan);
        LOGGER.log(
                Level.INFO,
                () ->
                        "plan: proposed plan="
                                + plan.id()
                                + " operator="
                                + operator
                                + " steps="
                                + plan.steps().size()
                                + " moves="
                                + plan.estimate().moves());
        return plan;
    }

    private Plan confirmNow(String id) {
        Snapshot snapshot = mView.snapshot();
        Plan plan = require(snapshot, id);
        if (plan.state() != PlanState.PROPOSED) {
            throw wrongState(plan, "confirmed");
        }
        String basis = PlanBasis.of(snapshot, plan.intent(), plan.steps());
        PlanLocks.Lock lock = PlanLocks.lockFor(plan);
        requireNoConflict(snapshot, id, lock);
        if (!basis.equals(plan.basis())) {
            Plan freshPlan = proposeNow(plan.operator(), plan.intent());
            throw new EndivetrayException(
                    ResultCode.STALE_PLAN,
                    "the state from which plan '"
                            + id
                            + "' was made has changed; the fresh plan is "
                            + freshPlan.id());
        }
        mRecordWriter.write(
                StateKeys.PLAN_LOCKS,
                snapshot.version(StateKeys.PLAN_LOCKS),
                snapshot.planLocks().plus(id, lock));
        return writeState(snapshot, plan, PlanState.RUNNING, "");
    }

    private void requireNoConflict(Snapshot snapshot, String id, PlanLocks.Lock lock) {
        Optional<String> other = snapshot.planLocks().conflictingPlan(id, lock);
        if (other.isPresent()) {
            PlanLocks.Lock otherLock = snapshot.planLocks().plans().get(other.get());
            throw new EndivetrayException(
                    ResultCode.PLAN_CONFLICT,
                    "plan '"
                            + other.get()
                            + "' of "
                            + otherLock.operator()
                            + " ("
                            + otherLock.summary()
                            + ") has locked some of the same workers, pools or members");
        }
    }

    private Plan cancelNow(String id) {
        Snapshot snapshot = mView.snapshot();
        Plan plan = require(snapshot, id);
        if (!plan.state().mayCancel()) {
            throw wrongState(plan, "cancelled");
        }
        if (plan.state() == PlanState.PROPOSED) {
            Plan cancelled = writeState(snapshot, plan, PlanState.CANCELLED, "");
            Snapshot now = mView.snapshot();
            if (now.planLocks().plans().containsKey(id)) {
                mRecordWriter.write(
                        StateKeys.PLAN_LOCKS,
                        now.version(StateKeys.PLAN_LOCKS),
                        now.planLocks().minus(id));
            }
            return cancelled;
        }
        return writeState(snapshot, plan, PlanState.CANCELLING, "");
    }

    private Plan resumeNow(String id) {
        Snapshot snapshot = mView.snapshot();
        Plan plan = require(snapshot, id);
        if (plan.state() != PlanState.HALTED) {
            throw wrongState(plan, "resumed");
        }
        return writeState(snapshot, plan, PlanState.RUNNING, "");
    }

    private Plan pauseNow(String id) {
        Snapshot snapshot = mView.snapshot();
        Plan plan = require(snapshot, id);
        if (plan.state() != PlanState.RUNNING) {
            throw wrongState(plan, "paused");
        }
        return writeState(snapshot, plan, PlanState.HALTED, "paused by an operator");
    }

    private Plan writeState(Snapshot snapshot, Plan plan, PlanState state, String note) {
        Plan next = plan.withState(state, note);
        String key = StateKeys.PLAN + plan.id();
        mRecordWriter.write(key, snapshot.version(key), next);
        LOGGER.log(
                Level.INFO,
                () ->
                        "plan: state changed plan="
                                + plan.id()
                                + " operator="
                                + plan.operator()
                                + " state="
                                + state);
        return next;
    }

    private static EndivetrayException wrongState(Plan plan, String action) {
        return new EndivetrayException(
                ResultCode.WRONG_PLAN_STATE,
                "plan '" + plan.id() + "' is " + plan.state() + " and cannot be " + action);
    }

    private static Plan require(Snapshot snapshot, String id) {
        return snapshot.plan(id)
                .orElseThrow(
                        () ->
                                new EndivetrayException(
                                        ResultCode.UNKNOWN_PLAN,
                                        "plan '" + id + "' does not exist"));
    }

    private String newId() {
        byte[] bytes = new byte[ID_BYTES];
        mRandom.nextBytes(bytes);
        return "p-" + HexFormat.of().formatHex(bytes);
    }

    // ---- configuration

    private static void checkConfiguration(Snapshot snapshot, Intent intent) {
        intent.members().forEach(member -> requireName("member", member.name()));
        for (HostRecord join : intent.joins()) {
            checkJoin(snapshot, join);
        }
        for (Pool pool : intent.pools()) {
            requireName("pool", pool.name());
            pool.services().forEach(service -> requireName("service", service.name()));
            checkVersion(snapshot, intent, pool);
            checkBudget(snapshot.fleet(), intent, pool);
        }
    }

    private static void requireName(String kind, String name) {
        if (name == null || !NAME_PATTERN.matcher(name).matches()) {
            throw new EndivetrayException(
                    ResultCode.INVALID_INTENT,
                    kind + " name must match " + NAME_PATTERN + ": '" + name + "'");
        }
    }

    private static void checkVersion(Snapshot snapshot, Intent intent, Pool pool) {
        Long expected = intent.expect().get(pool.name());
        long found = snapshot.version(StateKeys.POOL + pool.name());
        if (expected != null && expected != found) {
            throw new EndivetrayException(
                    ResultCode.VERSION_CONFLICT,
                    "pool '" + pool.name() + "' is at version " + found + ", not " + expected);
        }
    }

    private static void checkJoin(Snapshot snapshot, HostRecord join) {
        if (snapshot.fleet().listed(join.worker()).isEmpty()) {
            throw new EndivetrayException(
                    ResultCode.UNKNOWN_WORKER, "worker '" + join.worker() + "' does not exist");
        }
        Optional<HostRecord> known = snapshot.fleet().record(join.worker());
        if (known.isPresent() && !known.get().pool().equals(join.pool())) {
            throw new EndivetrayException(
                    ResultCode.WORKER_IN_POOL,
                    "worker '"
                            + join.worker()
                            + "' is in pool '"
                            + known.get().pool()
                            + "' and cannot join pool '"
                            + join.pool()
                            + "'");
        }
    }

    /** Throws an exception if the available workers of the pool do not meet its budget. */
    private static void checkBudget(FleetView fleet, Intent intent, Pool pool) {
        List<ListedHost> available =
                fleet.listedHosts().stream()
                        .filter(host -> host.status().isAvailable())
                        .filter(host -> willServe(fleet, intent, pool, host))
                        .toList();
        Optional<BudgetCheck.Shortfall> shortfall = BudgetCheck.check(pool.budget(), available, 0);
        if (shortfall.isPresent()) {
            throw new EndivetrayException(
                    ResultCode.BUDGET_FORBIDS,
                    "pool '"
                            + pool.name()
                            + "' does not meet the budget: "
                            + shortfall.get().describe());
        }
    }

    private static boolean willServe(FleetView fleet, Intent intent, Pool pool, ListedHost host) {
        boolean serves =
                fleet.record(host.worker())
                        .filter(known -> known.pool().equals(pool.name()))
                        .filter(fleet::isAvailable)
                        .isPresent();
        boolean joins =
                intent.joins().stream()
                        .anyMatch(
                                join ->
                                        join.worker().equals(host.worker())
                                                && join.pool().equals(pool.name()));
        return serves || joins;
    }
}
