package org.endivetray.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.endivetray.ListedHost;
import org.endivetray.ListedStatus;
import org.endivetray.MinionEndpoint;

/**
 * The hosts of the platform stand-in, and the delayed host list that it serves.
 *
 * <p>Invariant: an operation id takes effect at most once.
 *
 * <p>This class is not thread-safe; it is confined to the event loop of the platform stand-in.
 */
public final class HostTable {
    private final Map<String, ListedHost> mHosts = new TreeMap<>();
    private final MinionAddresses mMinions;
    private final long mLagMillis;
    private final long mRebootMillis;
    private final Deque<DelayedList> mDelayedLists = new ArrayDeque<>();
    private final Map<String, Long> mRebootEndMillis = new HashMap<>();
    private final Map<String, String> mRebootWorkers = new HashMap<>();
    private final Set<String> mAppliedOperations = new HashSet<>();
    private final Set<String> mWorkersFailingReboot = new HashSet<>();
    private List<ListedHost> mListedHosts = List.of();

    HostTable(List<ListedHost> hosts, MinionAddresses minions, long lagMillis, long rebootMillis) {
        mMinions = minions;
        mLagMillis = lagMillis;
        mRebootMillis = rebootMillis;
        hosts.forEach(host -> mHosts.put(host.worker(), host));
        mListedHosts = List.copyOf(mHosts.values());
    }

    List<ListedHost> listedHosts() {
        return mListedHosts;
    }

    int rebootCount() {
        return mRebootEndMillis.size();
    }

    /** Completes the reboots that are due and updates the host list. */
    void tick(long nowMillis) {
        mRebootEndMillis.forEach(
                (operation, endMillis) -> {
                    String worker = mRebootWorkers.get(operation);
                    if (endMillis <= nowMillis && !mWorkersFailingReboot.contains(worker)) {
                        if (mAppliedOperations.add(operation + "/up")) {
                            setStatus(worker, ListedStatus.LIVE.name());
                        }
                    }
                });
        mDelayedLists.add(new DelayedList(nowMillis + mLagMillis, List.copyOf(mHosts.values())));
        while (!mDelayedLists.isEmpty() && mDelayedLists.peek().visibleMillis() <= nowMillis) {
            mListedHosts = mDelayedLists.poll().hosts();
        }
    }

    void setStatus(String worker, String status) {
        mHosts.computeIfPresent(
                worker, (name, host) -> host.withStatus(ListedStatus.valueOf(status)));
    }

    void failReboots(String worker) {
        mWorkersFailingReboot.add(worker);
    }

    void assignServices(String worker, String services, String operation) {
        if (!mAppliedOperations.add(operation)) {
            return;
        }
        List<MinionEndpoint> minions = new ArrayList<>();
        for (String service : Arrays.asList(services.split(","))) {
            if (!service.isEmpty()) {
                minions.add(mMinions.find(worker, service));
            }
        }
        mHosts.computeIfPresent(worker, (name, host) -> host.withMinions(minions));
    }

    String reboot(String worker, String operation, long nowMillis) {
        if (mRebootEndMillis.putIfAbsent(operation, nowMillis + mRebootMillis) == null) {
            mRebootWorkers.put(operation, worker);
            setStatus(worker, ListedStatus.DOWN.name());
        }
        if (mRebootEndMillis.get(operation) > nowMillis) {
            return "RUNNING";
        }
        return mWorkersFailingReboot.contains(worker) ? "FAILED" : "HEALTHY";
    }

    /** Finds the endpoint of a minion. */
    @FunctionalInterface
    public interface MinionAddresses {
        /** Returns the endpoint of the minion of the service on the worker. */
        MinionEndpoint find(String worker, String service);
    }

    /** A host list and the time from which it is visible. */
    private record DelayedList(long visibleMillis, List<ListedHost> hosts) {}
}
