package org.endivetray.daemon.slots;

import io.vertx.core.Future;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.endivetray.ListedHost;
import org.endivetray.MinionEndpoint;
import org.endivetray.daemon.duty.Duty;
import org.endivetray.daemon.membership.Membership;
import org.endivetray.daemon.state.Snapshot;
import org.endivetray.daemon.state.StateView;
import org.endivetray.policy.SlotAllocator;
import org.endivetray.wire.gen.Body;
import org.endivetray.wire.gen.SlotCell;
import org.endivetray.wire.gen.SlotGrant;
import org.endivetray.wire.gen.SlotReport;

/**
 * Divides the slots of the services that this daemon owns among all daemons.
 *
 * <p>An allocator is kept for a service while this daemon owns it. A new owner starts with an empty
 * allocator and first learns what each daemon holds.
 *
 * <p>When a partition separates the daemons, each daemon on the smaller side uses a fixed share on
 * its own, and the owner on the larger side leaves that share free for it.
 *
 * <p>Invariants: a report is refused if this daemon does not own the service, has not discovered
 * its peers, or is on the smaller side of a partition.
 *
 * <p>This class is thread-safe; its allocators are confined to its own thread.
 */
public final class SlotOwner {
    /** Time to live of a grant, counted from when its report was sent, in milliseconds. */
    public static final int GRANT_TTL_MILLIS = 3_000;

    /** Prefix of the keys by which services are assigned to their owners. */
    public static final String OWNERSHIP_KEY_PREFIX = "slots/";

    private static final int RING_ENTRIES = 4_096;
    private static final long TICK_MILLIS = 250;

    private final Membership mMembership;
    private final StateView mView;
    private final String mName;
    private final long mIncarnation;
    private final int mSlotsPerMinion;
    private final int mIsolatedShare;
    private final Duty mDuty;
    private final Map<String, SlotAllocator> mAllocators = new TreeMap<>();

    /**
     * Constructs an owner that has not been started.
     *
     * @param membership carries messages, not null
     * @param view the stored state, not null
     * @param slotsPerMinion number of requests that a minion runs at once
     * @param isolatedShare slots of each minion that an unreachable daemon uses on its own
     */
    public SlotOwner(Membership membership, StateView view, int slotsPerMinion, int isolatedShare) {
        mMembership = membership;
        mView = view;
        mName = membership.self().name();
        mIncarnation = membership.self().incarnation();
        mSlotsPerMinion = slotsPerMinion;
        mIsolatedShare = isolatedShare;
        mDuty = new Duty("slots", RING_ENTRIES, TICK_MILLIS, this::dropForeignAllocators);
    }

    /** Starts the thread. */
    public void start() {
        mDuty.start();
    }

    /** Stops the thread. */
    public void stop() {
        mDuty.stop();
    }

    /**
     * Replies to a daemon's report with its grant.
     *
     * @param daemon the reporting daemon's name, not null
     * @param report its demand, not null
     * @return the grant, or a failure if this daemon does not act as the owner of the service
     */
    public Future<Body> onReport(String daemon, SlotReport report) {
        return Future.fromCompletionStage(mDuty.call(() -> handleReport(daemon, report)));
    }

    private Body handleReport(String daemon, SlotReport report) {
        String service = report.getServiceName();
        if (!isOwner(service) || !mMembership.isDiscoveryComplete() || mMembership.isMinority()) {
            return Body.failure("not the slot owner of service " + service);
        }
        long now = System.nanoTime();
        SlotAllocator allocator =
                mAllocators.computeIfAbsent(
                        service,
                        name ->
                                new SlotAllocator(
                                        TimeUnit.MILLISECONDS.toNanos(GRANT_TTL_MILLIS),
                                        mMembership.present(),
                                        now));
        allocator.setCapacity(capacityOf(service));
        apply(allocator, daemon, report, now).forEach(other -> push(service, allocator, other));
        return Body.slotGrant(newGrant(service, allocator, daemon));
    }

    private void push(String service, SlotAllocator allocator, String daemon) {
        mMembership
                .send(daemon, Body.slotGrant(newGrant(service, allocator, daemon)))
                .onSuccess(
                        reply -> {
                            if (reply.isSetSlotReport()) {
                                mDuty.submit(() -> onPushReply(daemon, reply.getSlotReport()));
                            }
                        });
    }

    private void onPushReply(String daemon, SlotReport report) {
        SlotAllocator allocator = mAllocators.get(report.getServiceName());
        if (allocator == null) {
            return;
        }
        daemonsToNotify(allocator, daemon, report, System.nanoTime())
                .forEach(other -> push(report.getServiceName(), allocator, other));
    }

    /**
     * Applies the report with which a daemon has replied to a grant, and returns the daemons to
     * which grants are to be sent, among them this one if it has not applied its latest grant.
     */
    static Set<String> daemonsToNotify(
            SlotAllocator allocator, String daemon, SlotReport report, long nowNanos) {
        Set<String> changed = new HashSet<>(apply(allocator, daemon, report, nowNanos));
        if (allocator.grantSeqOf(daemon) > report.getAppliedSeq()) {
            changed.add(daemon);
        }
        return changed;
    }

    private static Set<String> apply(
            SlotAllocator allocator, String daemon, SlotReport report, long nowNanos) {
        return allocator.onReport(
                daemon,
                report.getWaiting(),
                toUsages(report),
                report.getReportSeq(),
                report.getAppliedSeq(),
                nowNanos);
    }

    private SlotGrant newGrant(String service, SlotAllocator allocator, String daemon) {
        return new SlotGrant(
                service,
                mName,
                mIncarnation,
                allocator.grantSeqOf(daemon),
                GRANT_TTL_MILLIS,
                allocator.limitsOf(daemon),
                allocator.isContended());
    }

    private static Map<String, SlotAllocator.SlotUsage> toUsages(SlotReport report) {
        Map<String, SlotAllocator.SlotUsage> usages = new HashMap<>();
        for (SlotCell cell : report.getCells()) {
            usages.put(
                    cell.getMinion(),
                    new SlotAllocator.SlotUsage(cell.getSlotLimit(), cell.getInFlight()));
        }
        return usages;
    }

    private boolean isOwner(String service) {
        return mMembership.owner(OWNERSHIP_KEY_PREFIX + service).equals(mName);
    }

    private void dropForeignAllocators() {
        mAllocators.keySet().removeIf(service -> !isOwner(service));
    }

    private Map<String, Integer> capacityOf(String service) {
        Map<String, Integer> capacity = new TreeMap<>();
        int slots = Math.max(0, mSlotsPerMinion - mMembership.unreachableCount() * mIsolatedShare);
        Snapshot snapshot = mView.snapshot();
        for (ListedHost host : snapshot.fleet().listedHosts()) {
            if (!snapshot.acceptsNewWork(host)) {
                continue;
            }
            for (MinionEndpoint minion : host.minions()) {
                if (minion.service().equals(service)) {
                    capacity.put(minion.address(), slots);
                }
            }
        }
        return capacity;
    }
}
