package org.endivetray.daemon.job.record;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.endivetray.job.MinionInfo;
import org.endivetray.platform.RecordCodec;
import org.endivetray.platform.VersionedValue;

/**
 * The stored form of the minions that may hold runs of a pool's tasks.
 *
 * <p>A minion is added before its first start and removed once nothing can run on it. A minion that
 * does not answer is closed: nothing is started on it until it is stored as open again, so that
 * only the named tasks can have runs on it.
 *
 * <p>Versions that know no closed minions find a closed one under another id. They wait for it as
 * for any minion that does not answer, and store it as open before they start anything on it.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param open the minions on which tasks may be started, as they were registered, not null
 * @param closed the closed minions, not null
 */
public record StoredMinions(List<MinionInfo> open, List<Closed> closed) {
    /** Ends the id under which versions that know no closed minions find a closed one. */
    private static final String CLOSED_SUFFIX = "#closed";

    public StoredMinions {
        open = List.copyOf(open);
        closed = List.copyOf(closed);
    }

    /**
     * A closed minion.
     *
     * @param info the minion as it was registered, not null
     * @param tasks names of the tasks that may have runs on it, not null
     */
    public record Closed(MinionInfo info, Set<String> tasks) {
        public Closed {
            tasks = Set.copyOf(tasks);
        }
    }

    /** Returns the encoded form. */
    public byte[] encode() {
        if (closed.isEmpty()) {
            return RecordCodec.encode(new Base(open));
        }
        List<MinionInfo> all = new ArrayList<>(open);
        closed.forEach(minion -> all.add(minion.info().withId(closedId(minion.info().id()))));
        Map<String, Set<String>> tasks = new TreeMap<>();
        closed.forEach(minion -> tasks.put(closedId(minion.info().id()), minion.tasks()));
        return RecordCodec.encodeExtended(new Base(all), new Extension(tasks));
    }

    private static String closedId(String id) {
        return id + CLOSED_SUFFIX;
    }

    /**
     * Returns the minions in a stored record, which must exist.
     *
     * @throws org.endivetray.EndivetrayException with {@link
     *     org.endivetray.ResultCode#DAMAGED_RECORD} if it cannot be decoded
     */
    public static StoredMinions decode(VersionedValue item) {
        Base base = RecordCodec.decode(item.key(), item.value(), Base.class);
        Map<String, Set<String>> tasks =
                RecordCodec.decodeExtension(item.key(), item.value(), Extension.class)
                        .map(Extension::closed)
                        .orElse(Map.of());
        List<MinionInfo> open = new ArrayList<>();
        List<Closed> closed = new ArrayList<>();
        for (MinionInfo info : base.minions()) {
            if (tasks.containsKey(info.id())) {
                String id = info.id().substring(0, info.id().length() - CLOSED_SUFFIX.length());
                closed.add(new Closed(info.withId(id), tasks.get(info.id())));
            } else {
                open.add(info);
            }
        }
        return new StoredMinions(open, closed);
    }

    /** What all versions store. */
    private record Base(List<MinionInfo> minions) {}

    /**
     * What versions with closed minions add.
     *
     * @param closed names of the tasks that may have runs, by the id of the closed minion
     */
    private record Extension(Map<String, Set<String>> closed) {
        private Extension {
            closed = closed == null ? Map.of() : closed;
        }
    }
}
