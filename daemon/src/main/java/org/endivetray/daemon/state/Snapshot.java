package org.endivetray.daemon.state;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.endivetray.EndivetrayException;
import org.endivetray.HostRecord;
import org.endivetray.ListedHost;
import org.endivetray.Member;
import org.endivetray.OutageLedger;
import org.endivetray.Plan;
import org.endivetray.Pool;
import org.endivetray.ServiceDeclaration;
import org.endivetray.platform.RecordCodec;
import org.endivetray.platform.VersionedValue;
import org.endivetray.policy.FleetView;

/**
 * Everything that a daemon knows of the stored state and the host list at one moment.
 *
 * <p>Invariants: of each key the highest version that was seen stands here; a record that cannot be
 * read is left out and named in {@link #damaged()}.
 *
 * <p>This class is immutable and thread-safe.
 */
public final class Snapshot {
    /** A snapshot from before anything was read. */
    public static final Snapshot EMPTY = new Snapshot(0, Map.of(), Map.of(), null);

    private final long mRevision;
    private final Map<String, VersionedValue> mRaw;
    private final Map<String, Object> mDecoded = new HashMap<>();
    private final Map<String, String> mDamaged = new TreeMap<>();
    private final Map<String, ListedHost> mListed;
    private final FleetView mFleet;
    private final Map<String, ServiceDeclaration> mServices = new TreeMap<>();

    private Snapshot(
            long revision,
            Map<String, VersionedValue> raw,
            Map<String, ListedHost> listed,
            Snapshot previous) {
        mRevision = revision;
        mRaw = raw;
        mListed = listed;
        raw.values().forEach(value -> decode(value, previous));
        mFleet = buildFleet();
        for (Pool pool : mFleet.pools()) {
            for (ServiceDeclaration service : pool.services()) {
                mServices.putIfAbsent(service.name(), service);
            }
        }
    }

    /** Returns the store's revision up to which everything is known. */
    public long revision() {
        return mRevision;
    }

    /** Returns pools, host records, ledgers and the host list. */
    public FleetView fleet() {
        return mFleet;
    }

    /** Returns whether requests may be sent to minions on the host. */
    public boolean acceptsNewWork(ListedHost host) {
        return host.status().isAvailable()
                && mFleet.record(host.worker())
                        .filter(known -> known.state().acceptsNewWork())
                        .isPresent();
    }

    /** Returns the declaration of the service, or empty. */
    public Optional<ServiceDeclaration> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /** Returns all declared services. */
    public List<ServiceDeclaration> services() {
        return List.copyOf(mServices.values());
    }

    /** Returns the member of the name, or empty. */
    public Optional<Member> member(String name) {
        return decoded(StateKeys.MEMBER + name, Member.class);
    }

    /** Returns all plans. */
    public List<Plan> plans() {
        return all(StateKeys.PLAN, Plan.class);
    }

    /** Returns the plan of the id, or empty. */
    public Optional<Plan> plan(String id) {
        return decoded(StateKeys.PLAN + id, Plan.class);
    }

    /** Returns all registered daemons. */
    public List<Registration> daemons() {
        return all(StateKeys.DAEMON, Registration.class);
    }

    /** Returns whether the store holds a lease of the daemon's incarnation. */
    public boolean isAlive(Registration daemon) {
        return decoded(StateKeys.LIVENESS + daemon.name(), LivenessRecord.class)
                .filter(alive -> alive.incarnation() == daemon.incarnation())
                .isPresent();
    }

    /** Returns what confirmed plans hold. */
    public PlanLocks planLocks() {
        return decoded(StateKeys.PLAN_LOCKS, PlanLocks.class).orElse(PlanLocks.EMPTY);
    }

    /** Returns the shard of the key, empty if it is not stored. */
    public HostShard hostShard(String key) {
        return decoded(key, HostShard.class).orElse(HostShard.EMPTY);
    }

    /** Returns the version of the key, 0 if it is not stored. */
    public long version(String key) {
        VersionedValue value = mRaw.get(key);
        return value == null || !value.isPresent() ? 0 : value.version();
    }

    /** Returns the keys of records that cannot be read, each with the reason. */
    public Map<String, String> damaged() {
        return Map.copyOf(mDamaged);
    }

    /** Returns whether the host list has been read. */
    public boolean hasHostList() {
        return !mListed.isEmpty();
    }

    /** Returns the values that changed after the revision, deleted ones included. */
    public List<VersionedValue> changedAfter(long revision) {
        return mRaw.values().stream().filter(value -> value.version() > revision).toList();
    }

    /**
     * Returns a copy with newer values; a value older than the known one is ignored.
     *
     * @param values read or watched values, not null
     * @param revision the revision up to which they are complete
     */
    public Snapshot withValues(List<VersionedValue> values, long revision) {
        Map<String, VersionedValue> next = new HashMap<>(mRaw);
        for (VersionedValue value : values) {
            VersionedValue known = next.get(value.key());
            if (known == null || known.version() < value.version()) {
                next.put(value.key(), value);
            }
        }
        return new Snapshot(Math.max(mRevision, revision), next, mListed, this);
    }

    /**
     * Returns a copy in which exactly the listed keys exist.
     *
     * @param values all values as of the revision, not null
     * @param revision the revision
     */
    public Snapshot withFullState(List<VersionedValue> values, long revision) {
        if (revision < mRevision) {
            return this;
        }
        Set<String> present = new HashSet<>();
        values.forEach(value -> present.add(value.key()));
        Map<String, VersionedValue> next = new HashMap<>(mRaw);
        next.replaceAll(
                (key, known) ->
                        present.contains(key) || known.version() > revision
                                ? known
                                : new VersionedValue(key, revision, null));
        return new Snapshot(revision, next, mListed, this).withValues(values, revision);
    }

    /**
     * Returns a copy with another host list, or this snapshot if the list is the same.
     *
     * @param rows the rows, not null
     */
    public Snapshot withHostList(List<ListedHost> rows) {
        Map<String, ListedHost> listed = new TreeMap<>();
        rows.forEach(row -> listed.put(row.worker(), row));
        if (listed.equals(mListed)) {
            return this;
        }
        return new Snapshot(mRevision, mRaw, listed, this);
    }

    private void decode(VersionedValue value, Snapshot previous) {
        if (!value.isPresent()) {
            return;
        }
        if (previous != null && previous.mRaw.get(value.key()) == value) {
            reuse(value.key(), previous);
            return;
        }
        Class<?> type = typeOf(value.key());
        if (type == null) {
            mDamaged.put(value.key(), "unknown key");
            return;
        }
        try {
            mDecoded.put(value.key(), RecordCodec.decode(value.key(), value.value(), type));
        } catch (EndivetrayException e) {
            mDamaged.put(value.key(), e.getMessage());
        }
    }

    private void reuse(String key, Snapshot previous) {
        Object known = previous.mDecoded.get(key);
        if (known != null) {
            mDecoded.put(key, known);
        } else {
            mDamaged.put(key, previous.mDamaged.get(key));
        }
    }

    private static Class<?> typeOf(String key) {
        if (key.equals(StateKeys.PLAN_LOCKS)) {
            return PlanLocks.class;
        }
        if (key.startsWith(StateKeys.POOL)) {
            return Pool.class;
        }
        if (key.startsWith(StateKeys.MEMBER)) {
            return Member.class;
        }
        if (key.startsWith(StateKeys.HOST_SHARD)) {
            return HostShard.class;
        }
        if (key.startsWith(StateKeys.LEDGER)) {
            return OutageLedger.class;
        }
        if (key.startsWith(StateKeys.PLAN)) {
            return Plan.class;
        }
        if (key.startsWith(StateKeys.LIVENESS)) {
            return LivenessRecord.class;
        }
        return key.startsWith(StateKeys.DAEMON) ? Registration.class : null;
    }

    private FleetView buildFleet() {
        Map<String, Pool> pools = new HashMap<>();
        all(StateKeys.POOL, Pool.class).forEach(pool -> pools.put(pool.name(), pool));
        Map<String, HostRecord> records = new HashMap<>();
        all(StateKeys.HOST_SHARD, HostShard.class).forEach(shard -> records.putAll(shard.hosts()));
        Map<String, OutageLedger> ledgers = new HashMap<>();
        all(StateKeys.LEDGER, OutageLedger.class)
                .forEach(ledger -> ledgers.put(ledger.pool(), ledger));
        return new FleetView(pools, records, ledgers, mListed);
    }

    private <T> Optional<T> decoded(String key, Class<T> type) {
        return Optional.ofNullable(type.cast(mDecoded.get(key)));
    }

    private <T> List<T> all(String prefix, Class<T> type) {
        return mDecoded.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(prefix))
                .sorted(Map.Entry.comparingByKey())
                .map(entry -> type.cast(entry.getValue()))
                .toList();
    }
}
