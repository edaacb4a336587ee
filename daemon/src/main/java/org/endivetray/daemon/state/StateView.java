package org.endivetray.daemon.state;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.endivetray.ListedHost;
import org.endivetray.platform.VersionedValue;

/**
 * Holds the latest snapshot and notifies listeners of each change.
 *
 * <p>Values come from the store's watch, from other daemons and from this daemon's own writes; the
 * highest version of each key wins, so the order of arrival does not matter.
 *
 * <p>Invariants: the revision never decreases.
 *
 * <p>This class is thread-safe.
 */
public final class StateView {
    private final List<Consumer<Snapshot>> mListeners = new CopyOnWriteArrayList<>();
    private volatile Snapshot mSnapshot = Snapshot.EMPTY;

    /** Returns the latest snapshot. */
    public Snapshot snapshot() {
        return mSnapshot;
    }

    /**
     * Adds a listener, which is called on the thread that makes the change.
     *
     * @param listener called with each new snapshot, not null; must not block
     */
    public void addListener(Consumer<Snapshot> listener) {
        mListeners.add(listener);
    }

    /** Updates the snapshot with changed values that are complete up to the revision. */
    public void onValues(List<VersionedValue> values, long revision) {
        change(snapshot -> snapshot.withValues(values, revision));
    }

    /** Updates the snapshot with all values in the store as of the revision. */
    public void onFullState(List<VersionedValue> values, long revision) {
        change(snapshot -> snapshot.withFullState(values, revision));
    }

    /** Updates the snapshot with a value that this daemon wrote. */
    public void onLocalWrite(VersionedValue value) {
        change(snapshot -> snapshot.withValues(List.of(value), snapshot.revision()));
    }

    /** Updates the snapshot with the host list. */
    public void onHostList(List<ListedHost> hosts) {
        change(snapshot -> snapshot.withHostList(hosts));
    }

    private void change(UnaryOperator<Snapshot> change) {
        Snapshot next;
        synchronized (this) {
            next = change.apply(mSnapshot);
            if (next == mSnapshot) {
                return;
            }
            mSnapshot = next;
        }
        mListeners.forEach(listener -> listener.accept(next));
    }
}
