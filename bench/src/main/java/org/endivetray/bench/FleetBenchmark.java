package org.endivetray.bench;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.apache.commons.cli.CommandLine;
import org.endivetray.AvailabilityBudget;
import org.endivetray.EndivetrayException;
import org.endivetray.HostRecord;
import org.endivetray.Intent;
import org.endivetray.IntentKind;
import org.endivetray.Json;
import org.endivetray.ListedHost;
import org.endivetray.ListedStatus;
import org.endivetray.Plan;
import org.endivetray.PlanStep;
import org.endivetray.Pool;
import org.endivetray.StepKind;
import org.endivetray.StepState;
import org.endivetray.daemon.state.PlanLocks;
import org.endivetray.policy.BudgetCheck;
import org.endivetray.policy.FleetView;
import org.endivetray.policy.OutageSelector;
import org.endivetray.policy.PlanDraft;
import org.endivetray.policy.PlanProgress;
import org.endivetray.policy.Planner;
import org.endivetray.policy.WavePacer;
import org.endivetray.standin.Site;

/**
 * Measures rollout time, moves, idle capacity and budget violations of plans on a virtual clock.
 *
 * <p>The greedy baseline first moves in a spare worker for each worker of a non-spare pool, as far
 * as there are spares, and only then takes the workers out. It neither paces nor halts the rollout.
 *
 * <p>This class is not thread-safe.
 */
final class FleetBenchmark {
    private static final double SITE_TICK_SECONDS = 0.2;
    private static final double SCALE_TICK_SECONDS = 2.5;
    private static final double MAX_ROLLOUT_SECONDS = 7_200;
    private static final int SCALE_POOLS = 53;
    private static final double FAULT_START_SECONDS = 20;
    private static final Map<String, Double> PAUSE_SECONDS_BY_FAULT =
            Map.of("kill", 3.2, "freeze", 9.0, "store-outage", 60.0);

    private final CommandLine mLine;
    private final boolean mIsGreedy;
    private final String mFault;
    private final VirtualFleet mFleet;
    private final Set<String> mFailedRacks = new HashSet<>();
    private final SplittableRandom mRandom;
    private final double mTickSeconds;
    private double mPausedUntilSeconds;

    private FleetBenchmark(CommandLine line, boolean isGreedy) {
        mLine = line;
        mIsGreedy = isGreedy;
        mFault = line.getOptionValue("fault", "none");
        mRandom = new SplittableRandom(Long.parseLong(line.getOptionValue("seed", "1")));
        mFleet = createFleet(line);
        boolean isScale = line.getOptionValue("site", "kochi").equals("scale");
        mTickSeconds = isScale ? SCALE_TICK_SECONDS : SITE_TICK_SECONDS;
    }

    static void run(CommandLine line) {
        String policy = line.getOptionValue("policy", "all");
        if (!policy.equals("chosen")) {
            System.out.println(new FleetBenchmark(line, true).measure());
        }
        if (!policy.equals("greedy")) {
            System.out.println(new FleetBenchmark(line, false).measure());
        }
    }

    private static VirtualFleet createFleet(CommandLine line) {
        VirtualFleet fleet = new VirtualFleet();
        String name = line.getOptionValue("site", "kochi");
        if (name.equals("scale")) {
            addScaleFleet(fleet, Integer.parseInt(line.getOptionValue("workers", "11000")));
            return fleet;
        }
        Site site = Site.ofName(name);
        Intent siteConfiguration = site.configuration();
        siteConfiguration.pools().forEach(fleet::addPool);
        for (int i = 0; i < site.hosts().size(); i++) {
            fleet.addWorker(site.hosts().get(i), siteConfiguration.joins().get(i).pool());
        }
        return fleet;
    }

    private static void addScaleFleet(VirtualFleet fleet, int workers) {
        int perPool = workers / SCALE_POOLS;
        AvailabilityBudget budget =
                AvailabilityBudget.ofFloor(perPool * 85 / 100)
                        .withMaxPlannedOutages(Math.max(1, perPool / 10));
        for (int i = 0; i < SCALE_POOLS; i++) {
            fleet.addPool(new Pool("pool" + i, i == 0, budget, List.of()));
        }
        for (int i = 0; i < workers; i++) {
            ListedHost host =
                    new ListedHost(
                            String.format("w%05d", i),
                            "r" + i / 32,
                            "z" + i * 6 / workers,
                            32,
                            65_536,
                            i % 100 < 52 ? 4 : 0,
                            ListedStatus.LIVE,
                            List.of());
            fleet.addWorker(host, "pool" + i % SCALE_POOLS);
        }
    }

    private List<Intent> intents() {
        String name = mLine.getOptionValue("intent", "wave");
        boolean isScale = mLine.getOptionValue("site", "kochi").equals("scale");
        String site = mLine.getOptionValue("site", "kochi");
        String rack = isScale ? "r7" : site + "-r1";
        List<String> pools = mFleet.view().pools().stream().map(Pool::name).toList();
        String spare =
                mFleet.view().pools().stream()
                        .filter(Pool::spare)
                        .findFirst()
                        .map(Pool::name)
                        .orElseThrow();
        String other = pools.stream().filter(pool -> !pool.equals(spare)).findFirst().orElseThrow();
        return switch (name) {
            case "drain-rack" -> List.of(Intent.of(IntentKind.DRAIN_RACK, rack));
            case "lend" -> List.of(Intent.ofLoan(2, spare, other));
            case "mixed" ->
                    List.of(
                            Intent.ofLoan(2, spare, other),
                            Intent.of(IntentKind.DRAIN_RACK, rack),
                            Intent.of(IntentKind.WAVE, other));
            default -> List.of(Intent.of(IntentKind.WAVE, "all"));
        };
    }

    private String measure() {
        double lowerBound = 0;
        double planMillis = 0;
        List<Plan> plans = new ArrayList<>();
        int refused = 0;
        for (Intent intent : intents()) {
            if (mFault.equals("race") && !plans.isEmpty()) {
                continue;
            }
            long startNanos = System.nanoTime();
            PlanDraft draft;
            try {
                draft = Planner.plan(mFleet.view(), intent);
            } catch (EndivetrayException e) {
                refused++;
                continue;
            }
            planMillis = Math.max(planMillis, (System.nanoTime() - startNanos) / 1e6);
            Plan plan = plan("p-" + plans.size(), intent, draft);
            lowerBound += lowerBound(plan);
            plans.add(plan);
            refused += mFault.equals("race") && isConflicting(conflictingPlan(), plan) ? 1 : 0;
            runUntilEnd(List.of(plan));
        }
        ObjectNode json = Json.mapper().createObjectNode();
        json.put("policy", mIsGreedy ? "greedy" : "chosen");
        json.put("rolloutSeconds", Math.round(mFleet.nowSeconds() * 10) / 10.0);
        json.put("lowerBoundSeconds", lowerBound);
        json.put("moves", mFleet.moves());
        json.put("bufferShare", Math.round(mFleet.bufferShare() * 1e3) / 1e3);
        json.put("budgetViolations", mFleet.budgetViolations());
        json.put("doublePool", mFleet.multiPoolWorkers());
        json.put("refusedIntents", refused);
        json.put("planMillis", Math.round(planMillis * 10) / 10.0);
        json.put("storeWrites", mFleet.storeWrites());
        json.put("storeReads", 0);
        json.put("heapMb", usedHeapMb());
        return json.toString();
    }

    private static long usedHeapMb() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return (runtime.totalMemory() - runtime.freeMemory()) >> 20;
    }

    private Plan plan(String id, Intent intent, PlanDraft draft) {
        List<PlanStep> steps = new ArrayList<>();
        if (mIsGreedy && intent.kind() != IntentKind.LEND) {
            steps.addAll(replacements(draft));
        }
        steps.addAll(draft.steps());
        return Plan.ofProposal(id, "bench", intent, "", steps, draft.estimate());
    }

    /**
     * Returns the moves of the greedy baseline: a spare for each worker of a non-spare pool, as far
     * as there are spares.
     */
    private List<PlanStep> replacements(PlanDraft draft) {
        FleetView view = mFleet.view();
        Set<String> planned = new HashSet<>();
        draft.steps().forEach(step -> planned.add(step.worker()));
        List<PlanStep> moves = new ArrayList<>();
        List<HostRecord> spares = new ArrayList<>();
        for (Pool pool : view.pools()) {
            if (pool.spare()) {
                spares.addAll(view.recordsOf(pool.name()));
            }
        }
        spares.removeIf(spare -> planned.contains(spare.worker()));
        for (PlanStep step : draft.steps()) {
            boolean fromSparePool = view.pool(step.fromPool()).map(Pool::spare).orElse(false);
            if (!fromSparePool && !spares.isEmpty()) {
                HostRecord spare = spares.remove(0);
                moves.add(
                        PlanStep.of(
                                spare.worker(), StepKind.MOVE, spare.pool(), step.fromPool(), 0));
            }
        }
        return moves;
    }

    /** Returns whether a plan conflicts with a running plan and must be refused. */
    private static boolean isConflicting(Plan candidate, Plan running) {
        PlanLocks holds = PlanLocks.EMPTY.plus(running.id(), PlanLocks.lockFor(running));
        return holds.conflictingPlan(candidate.id(), PlanLocks.lockFor(candidate)).isPresent();
    }

    /** Returns a plan of a second operator for the same workers. */
    private Plan conflictingPlan() {
        PlanDraft draft = Planner.plan(mFleet.view(), Intent.of(IntentKind.WAVE, "all"));
        return Plan.ofProposal(
                "p-rival",
                "rival",
                Intent.of(IntentKind.WAVE, "all"),
                "",
                draft.steps(),
                draft.estimate());
    }

    private double lowerBound(Plan plan) {
        Map<String, Integer> perPool = new TreeMap<>();
        boolean hasReboots = false;
        for (PlanStep step : plan.steps()) {
            if (step.kind() != StepKind.MOVE || plan.intent().kind() == IntentKind.LEND) {
                perPool.merge(step.fromPool(), 1, Integer::sum);
                hasReboots |= step.kind() == StepKind.MAINTAIN;
            }
        }
        double cycleSeconds =
                VirtualFleet.DRAIN_SECONDS + (hasReboots ? VirtualFleet.REBOOT_SECONDS : 0);
        double longestSeconds = 0;
        for (Map.Entry<String, Integer> pool : perPool.entrySet()) {
            int concurrentOutages = maxConcurrentOutages(plan, pool.getKey());
            longestSeconds =
                    Math.max(
                            longestSeconds,
                            Math.ceil((double) pool.getValue() / concurrentOutages) * cycleSeconds);
        }
        return longestSeconds;
    }

    private int maxConcurrentOutages(Plan plan, String pool) {
        Set<String> outages = new HashSet<>();
        for (PlanStep step : plan.steps()) {
            if (!step.fromPool().equals(pool)) {
                continue;
            }
            outages.add(step.worker());
            if (BudgetCheck.checkOutages(mFleet.view(), pool, outages).isPresent()) {
                return Math.max(1, outages.size() - 1);
            }
        }
        return Math.max(1, outages.size());
    }

    private void runUntilEnd(List<Plan> plans) {
        double startSeconds = mFleet.nowSeconds();
        Set<String> ended = new HashSet<>();
        while (ended.size() < plans.size()
                && mFleet.nowSeconds() - startSeconds < MAX_ROLLOUT_SECONDS) {
            injectFault(startSeconds);
            if (mFleet.nowSeconds() >= mPausedUntilSeconds) {
                for (Plan plan : plans) {
                    if (!ended.contains(plan.id()) && runPass(plan)) {
                        ended.add(plan.id());
                    }
                }
            }
            mFleet.sample(mFailedRacks);
            mFleet.advanceClock(mTickSeconds);
        }
    }

    /**
     * Runs one pass over the plan, as the executor does, and returns whether the plan has ended.
     */
    private boolean runPass(Plan stored) {
        Plan plan = withFailedReboots(PlanProgress.derive(stored, mFleet.view()));
        if (!mIsGreedy && WavePacer.mustHalt(plan.steps())) {
            boolean isIdle = plan.steps().stream().noneMatch(step -> step.state().isUnderWay());
            mFleet.advanceSteps(plan);
            return isIdle;
        }
        mFleet.advanceSteps(plan);
        Plan updated = withFailedReboots(PlanProgress.derive(stored, mFleet.view()));
        if (mIsGreedy) {
            reserveOutagesGreedily(updated);
        } else {
            OutageSelector.select(updated, mFleet.view())
                    .forEach((pool, workers) -> mFleet.reserveOutages(stored, pool, workers));
        }
        return updated.isFinished();
    }

    private void reserveOutagesGreedily(Plan plan) {
        for (PlanStep step : plan.steps()) {
            boolean isPendingOutage =
                    step.state() == StepState.PENDING && step.kind().reducesCapacity();
            boolean hasOpenMoves =
                    plan.steps().stream()
                            .anyMatch(
                                    other ->
                                            other.kind() == StepKind.MOVE
                                                    && !other.state().isFinal());
            if (isPendingOutage
                    && (step.kind() == StepKind.MOVE || !hasOpenMoves)
                    && BudgetCheck.checkOutages(
                                    mFleet.view(), step.fromPool(), Set.of(step.worker()))
                            .isEmpty()) {
                mFleet.reserveOutages(plan, step.fromPool(), Set.of(step.worker()));
            }
        }
    }

    private Plan withFailedReboots(Plan plan) {
        return plan.withSteps(
                plan.steps().stream()
                        .map(
                                step ->
                                        step.state() == StepState.REBOOTING
                                                        && mFleet.failsReboots(step.worker())
                                                ? step.withState(StepState.FAILED)
                                                : step)
                        .toList());
    }

    private void injectFault(double startSeconds) {
        double elapsedSeconds = mFleet.nowSeconds() - startSeconds;
        boolean isDue =
                elapsedSeconds >= FAULT_START_SECONDS
                        && elapsedSeconds < FAULT_START_SECONDS + mTickSeconds;
        if (!isDue) {
            return;
        }
        if (PAUSE_SECONDS_BY_FAULT.containsKey(mFault)) {
            mPausedUntilSeconds = mFleet.nowSeconds() + PAUSE_SECONDS_BY_FAULT.get(mFault);
        } else if (mFault.equals("correlated")) {
            List<ListedHost> hosts = mFleet.view().listedHosts();
            String rack = hosts.get(mRandom.nextInt(hosts.size())).rack();
            mFailedRacks.add(rack);
            mFleet.failRack(rack);
            hosts.stream()
                    .filter(host -> mRandom.nextInt(4) == 0)
                    .forEach(host -> mFleet.failReboots(host.worker()));
        }
    }
}
