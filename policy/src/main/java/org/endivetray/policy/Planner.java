package org.endivetray.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.endivetray.EndivetrayException;
import org.endivetray.FailureDomain;
import org.endivetray.HostRecord;
import org.endivetray.HostState;
import org.endivetray.Intent;
import org.endivetray.ListedHost;
import org.endivetray.PlanEstimate;
import org.endivetray.PlanStep;
import org.endivetray.Pool;
import org.endivetray.ResultCode;
import org.endivetray.StepKind;

/**
 * Plans the steps that carry out an intent within every pool's availability budget, with the fewest
 * moves.
 *
 * <p>Workers are drained without a replacement where the budgets allow. Only where a pool would
 * violate its budget does the plan first lend it spare workers, one by one until the budget holds.
 *
 * <p>Invariants: no worker has two steps in one stage; the plan's end state violates no budget that
 * held before.
 *
 * <p>This class keeps state only during a call and is thread-safe.
 */
public final class Planner {
    /** Expected time to drain one worker, in seconds. */
    public static final int DRAIN_SECONDS = 5;

    /** Expected time to reboot one worker, in seconds. */
    public static final int REBOOT_SECONDS = 60;

    private static final int LOAN_STAGE = 0;
    private static final int WORK_STAGE = 1;
    private static final int RETURN_STAGE = 2;

    private final FleetView mView;
    private final Set<String> mLentWorkers = new HashSet<>();

    private Planner(FleetView view) {
        mView = view;
    }

    /**
     * Returns the plan for the intent.
     *
     * @param view the fleet, not null
     * @param intent the operator's request, not null
     * @throws EndivetrayException with a code between 2001 and 2012 if no plan can be made
     */
    public static PlanDraft plan(FleetView view, Intent intent) {
        Planner planner = new Planner(view);
        return switch (intent.kind()) {
            case DRAIN_RACK -> planner.drain(planner.inRack(intent.target()));
            case DRAIN_ZONE -> planner.drain(planner.inZone(intent.target()));
            case DRAIN_WORKER -> planner.drain(planner.withName(intent.target()));
            case RESTORE_RACK -> planner.restore(planner.inRack(intent.target()));
            case LEND -> planner.lend(intent);
            case WAVE -> planner.wave(planner.waveTargets(intent.target()));
            case CONFIGURE -> new PlanDraft(List.of(), new PlanEstimate(0, 0, Map.of()));
        };
    }

    private PlanDraft drain(List<HostRecord> hosts) {
        List<HostRecord> targets = hosts.stream().filter(this::isInService).toList();
        if (targets.isEmpty()) {
            throw new EndivetrayException(
                    ResultCode.INVALID_INTENT, "none of the workers to drain is in service");
        }
        Set<String> excluded = names(targets);
        List<PlanStep> steps = new ArrayList<>();
        for (Map.Entry<String, List<HostRecord>> group : byPool(targets).entrySet()) {
            steps.addAll(loansFor(group.getKey(), names(group.getValue()), excluded));
        }
        for (HostRecord target : targets) {
            steps.add(PlanStep.of(target.worker(), StepKind.DRAIN, target.pool(), "", WORK_STAGE));
        }
        return draft(steps, DRAIN_SECONDS);
    }

    private PlanDraft restore(List<HostRecord> hosts) {
        List<PlanStep> steps =
                hosts.stream()
                        .filter(host -> host.state() == HostState.DRAINED)
                        .map(
                                host ->
                                        PlanStep.of(
                                                host.worker(),
                                                StepKind.RESTORE,
                                                host.pool(),
                                                "",
                                                WORK_STAGE))
                        .toList();
        if (steps.isEmpty()) {
            throw new EndivetrayException(
                    ResultCode.INVALID_INTENT, "none of the workers to restore is drained");
        }
        return draft(steps, 1);
    }

    private PlanDraft lend(Intent intent) {
        requirePool(intent.from());
        requirePool(intent.to());
        if (intent.count() <= 0 || intent.from().equals(intent.to())) {
            throw new EndivetrayException(
                    ResultCode.INVALID_INTENT,
                    "a loan requires a count above 0 and two different pools: " + intent.summary());
        }
        List<ListedHost> chosen = new ArrayList<>();
        List<ListedHost> borrower = new ArrayList<>(mView.available(intent.to()));
        for (int i = 0; i < intent.count(); i++) {
            ListedHost next =
                    bestSpare(List.of(intent.from()), borrower, Set.of())
                            .orElseThrow(() -> tooFewSpares(intent, chosen.size()));
            chosen.add(next);
            borrower.add(next);
            mLentWorkers.add(next.worker());
        }
        List<PlanStep> steps =
                chosen.stream()
                        .map(host -> moveStep(host.worker(), intent.from(), intent.to(), 0))
                        .toList();
        return draft(steps, DRAIN_SECONDS);
    }

    private PlanDraft wave(List<HostRecord> targets) {
        if (targets.isEmpty()) {
            throw new EndivetrayException(
                    ResultCode.INVALID_INTENT, "none of the workers to maintain is in service");
        }
        Set<String> excluded = names(targets);
        List<PlanStep> steps = new ArrayList<>();
        for (Map.Entry<String, List<HostRecord>> group : byPool(targets).entrySet()) {
            if (allowedAtOnce(group.getKey(), group.getValue()) == 0) {
                steps.addAll(loansAndReturns(group, excluded));
            }
        }
        for (HostRecord target : targets) {
            steps.add(
                    PlanStep.of(target.worker(), StepKind.MAINTAIN, target.pool(), "", WORK_STAGE));
        }
        return draft(steps, DRAIN_SECONDS + REBOOT_SECONDS);
    }

    private List<PlanStep> loansAndReturns(
            Map.Entry<String, List<HostRecord>> group, Set<String> excluded) {
        List<PlanStep> steps = new ArrayList<>();
        Set<String> firstWorker = Set.of(group.getValue().get(0).worker());
        for (PlanStep loan : loansFor(group.getKey(), firstWorker, excluded)) {
            steps.add(loan);
            steps.add(moveStep(loan.worker(), loan.toPool(), loan.fromPool(), RETURN_STAGE));
        }
        return steps;
    }

    /** Returns the fewest loans that allow the workers to be out of the pool at the same time. */
    private List<PlanStep> loansFor(String pool, Set<String> out, Set<String> excluded) {
        List<PlanStep> loans = new ArrayList<>();
        List<ListedHost> remaining = new ArrayList<>(mView.available(pool));
        boolean lowersAvailable = remaining.removeIf(host -> out.contains(host.worker()));
        int outages = outagesWith(pool, out);
        while (true) {
            Optional<BudgetCheck.Shortfall> shortfall =
                    BudgetCheck.check(requirePool(pool).budget(), remaining, outages);
            boolean isCeilingExceeded =
                    shortfall.isPresent()
                            && shortfall.get().limit() == BudgetCheck.Limit.PLANNED_OUTAGES;
            if (shortfall.isEmpty() || (!lowersAvailable && !isCeilingExceeded)) {
                return loans;
            }
            ListedHost spare = spareFor(pool, remaining, excluded, shortfall.get());
            String lender = mView.record(spare.worker()).orElseThrow().pool();
            loans.add(moveStep(spare.worker(), lender, pool, LOAN_STAGE));
            remaining.add(spare);
            mLentWorkers.add(spare.worker());
        }
    }

    private ListedHost spareFor(
            String pool,
            List<ListedHost> remaining,
            Set<String> excluded,
            BudgetCheck.Shortfall shortfall) {
        if (!shortfall.limit().isFixableByLending()) {
            throw new EndivetrayException(
                    ResultCode.BUDGET_FORBIDS,
                    "pool "
                            + pool
                            + ": "
                            + shortfall.describe()
                            + "; raise the ceiling to "
                            + shortfall.found()
                            + " or take out fewer workers at a time");
        }
        List<String> lenders =
                mView.pools().stream()
                        .filter(Pool::spare)
                        .map(Pool::name)
                        .filter(name -> !name.equals(pool))
                        .toList();
        return bestSpare(lenders, remaining, excluded)
                .orElseThrow(
                        () ->
                                new EndivetrayException(
                                        ResultCode.BUDGET_FORBIDS,
                                        "pool "
                                                + pool
                                                + ": "
                                                + shortfall.describe()
                                                + "; lend "
                                                + (shortfall.required() - shortfall.found())
                                                + " more workers or lower the floor to "
                                                + Math.max(0, shortfall.found())));
    }

    /**
     * Returns the lendable worker whose zone, then rack, holds the fewest of the borrower's
     * workers.
     */
    private Optional<ListedHost> bestSpare(
            List<String> lenders, List<ListedHost> borrower, Set<String> excluded) {
        Predicate<ListedHost> free =
                host -> !excluded.contains(host.worker()) && !mLentWorkers.contains(host.worker());
        return lenders.stream()
                .flatMap(lender -> mView.available(lender).stream())
                .filter(free)
                .filter(host -> mayLeave(host, excluded))
                .min(
                        Comparator.<ListedHost>comparingInt(
                                        host -> inDomain(FailureDomain.ZONE, host, borrower))
                                .thenComparingInt(
                                        host -> inDomain(FailureDomain.RACK, host, borrower))
                                .thenComparing(ListedHost::worker));
    }

    private boolean mayLeave(ListedHost host, Set<String> excluded) {
        String lender = mView.record(host.worker()).orElseThrow().pool();
        List<ListedHost> rest =
                mView.available(lender).stream()
                        .filter(other -> !other.worker().equals(host.worker()))
                        .filter(other -> !mLentWorkers.contains(other.worker()))
                        .filter(other -> !excluded.contains(other.worker()))
                        .toList();
        return BudgetCheck.check(requirePool(lender).budget(), rest, 0).isEmpty();
    }

    private static int inDomain(FailureDomain domain, ListedHost host, List<ListedHost> hosts) {
        return (int)
                hosts.stream()
                        .filter(other -> domain.keyOf(other).equals(domain.keyOf(host)))
                        .count();
    }

    /** Returns how many of the workers, taken in order, may be out of the pool at the same time. */
    private int allowedAtOnce(String pool, List<HostRecord> targets) {
        Set<String> out = new TreeSet<>();
        for (HostRecord target : targets) {
            out.add(target.worker());
            if (BudgetCheck.checkOutages(mView, pool, out).isPresent()) {
                return out.size() - 1;
            }
        }
        return out.size();
    }

    private PlanDraft draft(List<PlanStep> steps, int cycleSeconds) {
        List<PlanStep> ordered = new ArrayList<>(steps);
        ordered.sort(Comparator.comparingInt(PlanStep::stage));
        int moves = (int) steps.stream().filter(step -> step.kind() == StepKind.MOVE).count();
        Map<String, Integer> lowest = new TreeMap<>();
        int rollout = moves > 0 ? DRAIN_SECONDS : 0;
        Map<String, List<PlanStep>> byPool = new TreeMap<>();
        for (PlanStep step : ordered) {
            byPool.computeIfAbsent(step.fromPool(), name -> new ArrayList<>()).add(step);
        }
        int longest = 0;
        for (Map.Entry<String, List<PlanStep>> group : byPool.entrySet()) {
            List<HostRecord> out =
                    group.getValue().stream()
                            .filter(step -> step.kind().reducesCapacity())
                            .flatMap(step -> mView.record(step.worker()).stream())
                            .toList();
            int atOnce = Math.max(1, allowedAtOnce(group.getKey(), out));
            int cycles = (group.getValue().size() + atOnce - 1) / atOnce;
            longest = Math.max(longest, cycles * cycleSeconds);
            int available = mView.available(group.getKey()).size();
            lowest.put(group.getKey(), Math.max(0, available - Math.min(atOnce, out.size())));
        }
        return new PlanDraft(ordered, new PlanEstimate(moves, rollout + longest, lowest));
    }

    private static PlanStep moveStep(String worker, String from, String to, int stage) {
        return PlanStep.of(worker, StepKind.MOVE, from, to, stage);
    }

    private int outagesWith(String pool, Set<String> out) {
        Set<String> all = new HashSet<>(mView.ledger(pool).outages().keySet());
        all.addAll(out);
        return all.size();
    }

    private boolean isInService(HostRecord hostRecord) {
        return hostRecord.state() == HostState.ACTIVE;
    }

    private List<HostRecord> inRack(String rack) {
        return require(
                mView.listedHosts().stream().filter(host -> host.rack().equals(rack)).toList(),
                "rack",
                rack);
    }

    private List<HostRecord> inZone(String zone) {
        return require(
                mView.listedHosts().stream().filter(host -> host.zone().equals(zone)).toList(),
                "zone",
                zone);
    }

    private List<HostRecord> require(List<ListedHost> hosts, String kind, String name) {
        if (hosts.isEmpty()) {
            throw new EndivetrayException(
                    ResultCode.UNKNOWN_RACK, "no worker is in " + kind + " '" + name + "'");
        }
        return hosts.stream().flatMap(host -> mView.record(host.worker()).stream()).toList();
    }

    private List<HostRecord> withName(String worker) {
        return List.of(
                mView.record(worker)
                        .orElseThrow(
                                () ->
                                        new EndivetrayException(
                                                ResultCode.UNKNOWN_WORKER,
                                                "worker '" + worker + "' does not exist")));
    }

    private List<HostRecord> waveTargets(String target) {
        if (target.equals("all")) {
            return mView.records().stream().filter(this::isInService).toList();
        }
        if (mView.pool(target).isPresent()) {
            return mView.recordsOf(target).stream().filter(this::isInService).toList();
        }
        if (mView.listedHosts().stream().anyMatch(host -> host.rack().equals(target))) {
            return inRack(target).stream().filter(this::isInService).toList();
        }
        throw new EndivetrayException(
                ResultCode.UNKNOWN_POOL, "no pool or rack is named '" + target + "'");
    }

    private Pool requirePool(String name) {
        return mView.pool(name)
                .orElseThrow(
                        () ->
                                new EndivetrayException(
                                        ResultCode.UNKNOWN_POOL,
                                        "pool '" + name + "' does not exist"));
    }

    private static EndivetrayException tooFewSpares(Intent intent, int found) {
        return new EndivetrayException(
                ResultCode.TOO_FEW_SPARES,
                "pool '"
                        + intent.from()
                        + "' can lend "
                        + found
                        + " workers within its budget, requested: "
                        + intent.count());
    }

    private static Map<String, List<HostRecord>> byPool(List<HostRecord> hosts) {
        Map<String, List<HostRecord>> groups = new TreeMap<>();
        for (HostRecord host : hosts) {
            groups.computeIfAbsent(host.pool(), name -> new ArrayList<>()).add(host);
        }
        return groups;
    }

    private static Set<String> names(List<HostRecord> hosts) {
        Set<String> names = new TreeSet<>();
        hosts.forEach(host -> names.add(host.worker()));
        return names;
    }
}
