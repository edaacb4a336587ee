package org.endivetray.daemon.job.shard;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.SharedStore.CommitOutcome;
import org.endivetray.platform.SharedStore.CommitResult;
import org.endivetray.platform.SharedStore.Condition;
import org.endivetray.platform.SharedStore.Write;

/**
 * A key to write, with callbacks for the outcome.
 *
 * <p>Invariants: a creation takes effect only if neither its key nor any of the other keys exists.
 *
 * <p>This class is not thread-safe; it belongs to the scheduler's thread.
 */
final class Change {
    private final String mKey;
    private final Supplier<byte[]> mEncoder;
    private final boolean mIsCreation;
    private final Consumer<Long> mOnStored;
    private final Consumer<CommitOutcome> mOnFailed;
    private final Consumer<CommitResult> mOnExists;

    /** Other keys that must not exist when the key is created. */
    private final List<String> mAlsoAbsent;

    /** Written together with the key, null if nothing is; its key must not exist either. */
    private final Write mAlsoWritten;

    /** The value that is sent or was sent last, null if none was. */
    private byte[] mSentValue;

    /** Time of the monotonic clock before which it is not sent, in nanoseconds. */
    private long mNotBeforeNanos;

    private boolean mIsPaced;

    long mVersion;

    /** Position in the order of queueing; a merged change takes the earlier position. */
    long mNumber;

    /** Whether an attempt with an unknown outcome may have written the key. */
    boolean mMayExist;

    private Change(
            String key,
            Supplier<byte[]> encoder,
            long version,
            boolean isCreation,
            List<String> alsoAbsent,
            Write alsoWritten,
            Consumer<Long> onStored,
            Consumer<CommitOutcome> onFailed,
            Consumer<CommitResult> onExists) {
        mKey = key;
        mEncoder = encoder;
        mVersion = version;
        mIsCreation = isCreation;
        mAlsoAbsent = alsoAbsent;
        mAlsoWritten = alsoWritten;
        mOnStored = onStored;
        mOnFailed = onFailed;
        mOnExists = onExists;
    }

    /**
     * Returns a change that writes a key of which the shard's owner is the only writer.
     *
     * @param key the key, not null
     * @param encoder returns the value; called each time the change is sent, and not if a later
     *     change of the key replaces this one before; not null
     * @param version the last known version of the key
     * @param onStored called with the new version once it is stored, not null
     */
    static Change rewrite(
            String key, Supplier<byte[]> encoder, long version, Consumer<Long> onStored) {
        return new Change(
                key, encoder, version, false, List.of(), null, onStored, outcome -> {}, item -> {});
    }

    /** Returns this change, which is from now on not sent before a time of the monotonic clock. */
    Change notBefore(long nanos) {
        mNotBeforeNanos = nanos;
        mIsPaced = true;
        return this;
    }

    /** Returns whether the change may be sent. */
    boolean isDue(long nowNanos) {
        return !mIsPaced || nowNanos - mNotBeforeNanos >= 0;
    }

    /**
     * Returns a change that creates two keys unless one of them or another key exists.
     *
     * @param key the key, not null
     * @param value the value, not null
     * @param alsoAbsent another key that must not exist either, not null
     * @param alsoWritten written together with it; its key must not exist either; not null
     * @param onStored called with the new version once it is stored, not null
     * @param onFailed called after each attempt that the store did not confirm, not null
     * @param onExists called with the current state of the keys if one of them exists, not null
     */
    static Change creation(
            String key,
            byte[] value,
            String alsoAbsent,
            Write alsoWritten,
            Consumer<Long> onStored,
            Consumer<CommitOutcome> onFailed,
            Consumer<CommitResult> onExists) {
        return new Change(
                key,
                () -> value,
                SharedStore.ABSENT,
                true,
                List.of(alsoAbsent),
                alsoWritten,
                onStored,
                onFailed,
                onExists);
    }

    String key() {
        return mKey;
    }

    /** Returns the value that was sent last, null if none was. */
    byte[] sentValue() {
        return mSentValue;
    }

    long version() {
        return mVersion;
    }

    boolean isCreation() {
        return mIsCreation;
    }

    /** Returns the number of conditions and writes that the change adds to a commit. */
    int entries() {
        return 2 + mAlsoAbsent.size() + (mAlsoWritten == null ? 0 : 2);
    }

    /**
     * Determines the value to send.
     *
     * @throws org.endivetray.EndivetrayException if it cannot be encoded
     */
    void encode() {
        mSentValue = mEncoder.get();
    }

    /** Adds the conditions and writes of the change, which was encoded, to those of a commit. */
    void addTo(List<Condition> conditions, List<Write> writes) {
        conditions.add(new Condition(mKey, mVersion));
        otherKeys().forEach(key -> conditions.add(new Condition(key, SharedStore.ABSENT)));
        writes.add(new Write(mKey, mSentValue, SharedStore.NO_LEASE));
        if (mAlsoWritten != null) {
            writes.add(mAlsoWritten);
        }
    }

    private Stream<String> otherKeys() {
        return Stream.concat(mAlsoAbsent.stream(), Stream.ofNullable(mAlsoWritten).map(Write::key));
    }

    void mergeFrom(Change earlier) {
        mVersion = earlier.mVersion;
        mMayExist |= earlier.mMayExist;
        mNumber = Math.min(mNumber, earlier.mNumber);
    }

    boolean isOtherKeyPresent(CommitResult result) {
        return otherKeys().anyMatch(key -> result.currentOf(key).isPresent());
    }

    void onStored(long version) {
        mVersion = version;
        mOnStored.accept(version);
    }

    void onFailed(CommitOutcome outcome) {
        mOnFailed.accept(outcome);
    }

    void onExists(CommitResult result) {
        mOnExists.accept(result);
    }
}
