package org.endivetray.daemon.request;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.endivetray.HostRecord;
import org.endivetray.ListedHost;
import org.endivetray.MinionEndpoint;
import org.endivetray.ServiceDeclaration;
import org.endivetray.daemon.membership.StoppedWorkers;
import org.endivetray.daemon.settings.SettingKey;
import org.endivetray.daemon.settings.Settings;
import org.endivetray.daemon.state.Snapshot;
import org.endivetray.policy.FleetView;

/**
 * Holds the services and their minions, and updates them from snapshots of the state.
 *
 * <p>Invariants: a minion accepts new work only if its worker is listed as live and its host record
 * is active.
 *
 * <p>This class is not thread-safe except for {@link #stoppedWorkers()}; it is confined to the
 * router's thread.
 */
final class ServiceTable {
    private final Settings mSettings;
    private final int mFixedLimit;
    private final String mZone;
    private final Map<String, ServiceState> mServices = new HashMap<>();
    private volatile StoppedWorkers mStoppedWorkers = StoppedWorkers.NONE;
    private Map<String, Long> mStoppedEpochs = Map.of();

    ServiceTable(Settings settings, RoutingPolicy policy) {
        mSettings = settings;
        mFixedLimit =
                policy.fixedLimit(
                        settings.number(SettingKey.SLOTS),
                        settings.number(SettingKey.CONNECTIONS),
                        settings.number(SettingKey.ENTRY_HOSTS));
        mZone = settings.text(SettingKey.ZONE);
    }

    /** Returns the service with the given name, or null. */
    ServiceState get(String name) {
        return mServices.get(name);
    }

    Collection<ServiceState> all() {
        return mServices.values();
    }

    /** Returns the workers that get no new work, with the requests in flight there. */
    StoppedWorkers stoppedWorkers() {
        return mStoppedWorkers;
    }

    /** Applies a new snapshot of the state. */
    void applySnapshot(Snapshot snapshot) {
        Map<String, Map<String, MinionState>> found = findMinions(snapshot);
        for (ServiceDeclaration declaration : snapshot.services()) {
            mServices
                    .computeIfAbsent(declaration.name(), name -> newService(declaration))
                    .setDeclaration(declaration);
        }
        mServices.forEach((name, service) -> merge(service, found.getOrDefault(name, Map.of())));
        mStoppedEpochs = stoppedEpochs(snapshot.fleet());
        publishStoppedWorkers();
    }

    /** Records that an attempt at the minion has ended. */
    void onAttemptEnded(MinionState minion) {
        if (mStoppedEpochs.containsKey(minion.worker())) {
            publishStoppedWorkers();
        }
    }

    private ServiceState newService(ServiceDeclaration declaration) {
        return new ServiceState(
                declaration,
                mSettings.number(SettingKey.WAITING_SERVICE),
                mSettings.number(SettingKey.WAITING_MEMBER));
    }

    private static Map<String, Long> stoppedEpochs(FleetView fleet) {
        Map<String, Long> epochs = new TreeMap<>();
        for (HostRecord hostRecord : fleet.records()) {
            if (!hostRecord.state().acceptsNewWork() && !hostRecord.state().isIdle()) {
                epochs.put(hostRecord.worker(), hostRecord.epoch());
            }
        }
        return epochs;
    }

    private Map<String, Map<String, MinionState>> findMinions(Snapshot snapshot) {
        Map<String, Map<String, MinionState>> found = new HashMap<>();
        for (ListedHost host : snapshot.fleet().listedHosts()) {
            boolean accepts = snapshot.acceptsNewWork(host);
            for (MinionEndpoint endpoint : host.minions()) {
                MinionState minion =
                        new MinionState(endpoint, host.worker(), host.zone().equals(mZone));
                minion.setAcceptsNewWork(accepts);
                found.computeIfAbsent(endpoint.service(), name -> new HashMap<>())
                        .put(endpoint.address(), minion);
            }
        }
        return found;
    }

    private void merge(ServiceState service, Map<String, MinionState> found) {
        service.minions().values().forEach(minion -> minion.setAcceptsNewWork(false));
        found.forEach(
                (address, minion) -> {
                    MinionState known =
                            service.minions().computeIfAbsent(address, unknown -> minion);
                    known.setAcceptsNewWork(minion.acceptsNewWork());
                    if (mFixedLimit != RoutingPolicy.NO_FIXED_LIMIT) {
                        known.setLimit(mFixedLimit);
                    }
                });
        service.minions()
                .values()
                .removeIf(
                        minion ->
                                !found.containsKey(minion.endpoint().address())
                                        && minion.inFlight() == 0);
    }

    private void publishStoppedWorkers() {
        Map<String, Integer> inFlight = new TreeMap<>();
        mStoppedEpochs.keySet().forEach(worker -> inFlight.put(worker, 0));
        for (ServiceState service : mServices.values()) {
            for (MinionState minion : service.minions().values()) {
                if (inFlight.containsKey(minion.worker())) {
                    inFlight.merge(minion.worker(), minion.inFlight(), Integer::sum);
                }
            }
        }
        mStoppedWorkers = new StoppedWorkers(mStoppedEpochs, inFlight);
    }
}
