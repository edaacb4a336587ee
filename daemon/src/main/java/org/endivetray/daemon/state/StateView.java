package org.endivetray.daemon.state;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.endivetray.ListedHost;
import org.endivetray.platform.VersionedValue;

/**
 * Holds the newest snapshot and tells listeners of each change.
 *
 * <p>Values come from the store's watch, from peers and from this daemon's own writes; the highest
 * version of each key wins, so the order of arrival does not matter.
 *
 * <p>Invariants: the revision never falls.
 *
 * <p>This class is thread-safe.
 */
public final class StateView {
    private final List<Consumer<Snapshot>> mListeners = new CopyOnWriteArrayList<>();
    private volatile Snapshot mSnapshot = Snapshot.EMPTY;

    /** Returns the newest snapshot. */
    public Snapshot snapshot() {
        return mSnapshot;
    }

    /**
     * Adds a listener, which is told on the thread that brings the change.
     *
     * @param listener told of each new snapshot, not null; must not block
     */
    public void addListener(Consumer<Snapshot> listener) {
        mListeners.add(listener);
    }

    /** Takes in values that are complete up to the revision. */
    public void onValues(List<VersionedValue> values, long revision) {
        change(snapshot -> snapshot.withValues(values, revision));
    }

    /** Takes in all values as of the revision. */
    public void onFullState(List<VersionedValue> values, long revision) {
        change(snapshot -> snapshot.withFullState(values, revision));
    }

    /** Takes in a value that this daemon wrote. */
    public void onLocalWrite(VersionedValue value) {
        change(snapshot -> snapshot.withValues(List.of(value), snapshot.revision()));
    }

    /** Takes in the host list. */
    public void onHostList(List<ListedHost> rows) {
        change(snapshot -> snapshot.withHostList(rows));
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
