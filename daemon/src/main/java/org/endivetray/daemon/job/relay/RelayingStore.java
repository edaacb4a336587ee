package org.endivetray.daemon.job.relay;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.endivetray.EndivetrayException;
import org.endivetray.ResultCode;
import org.endivetray.platform.SharedStore;
import org.endivetray.platform.VersionedValue;
import org.endivetray.wire.gen.StoreCall;
import org.endivetray.wire.gen.StoreOperation;
import org.endivetray.wire.gen.StoreReply;
import org.endivetray.wire.gen.StoreStatus;

/**
 * The shared store, called through a peer while the store does not answer this daemon itself.
 *
 * <p>The store may turn some daemons away and serve the others. A daemon that is turned away keeps
 * its lease and its shards this way instead of losing them to a daemon that first has to load them.
 * While no peer reaches the store either, calls are made directly.
 *
 * <p>Invariants: a commit that may have been made directly is never reported as refused or as in
 * conflict because of its repetition through a peer.
 *
 * <p>This class is thread-safe.
 */
public final class RelayingStore implements SharedStore {
    private static final Logger LOGGER = System.getLogger(RelayingStore.class.getName());

    /** Time limit of a call through a peer; the store and a peer usually take milliseconds. */
    private static final long RELAY_TIMEOUT_MILLIS = 500;

    private static final CommitResult UNKNOWN =
            new CommitResult(CommitOutcome.UNKNOWN, 0, List.of());

    /** The answer to a commit that was made again and may be in conflict with itself. */
    private static final CommitResult OWN_CONFLICT =
            new CommitResult(CommitOutcome.UNKNOWN, 0, List.of());

    private final SharedStore mDirect;
    private final StorePeers mPeers;
    private final LongSupplier mNanoTime;
    private final StorePath mPath = new StorePath();
    private final DirectCalls mDirectCalls;
    private volatile boolean mIsRelayUnanswered;
    private final Set<Promise<?>> mDirectWatches = ConcurrentHashMap.newKeySet();
    private final Set<Promise<?>> mRelayedWatches = ConcurrentHashMap.newKeySet();

    /**
     * Constructs a store.
     *
     * @param direct the store as this daemon reaches it, not null
     * @param peers the daemons that may reach it instead, not null
     * @param nanoTime the monotonic clock, in nanoseconds, not null
     */
    public RelayingStore(SharedStore direct, StorePeers peers, LongSupplier nanoTime) {
        mDirect = direct;
        mPeers = peers;
        mNanoTime = nanoTime;
        mDirectCalls = new DirectCalls(nanoTime);
    }

    /** Returns the store as this daemon reaches it. */
    SharedStore direct() {
        return mDirect;
    }

    /** Returns whether the store answers this daemon, as far as is known. */
    boolean isReachable() {
        return mPath.isUsable();
    }

    /**
     * Returns whether neither the store nor the peers answer this daemon, so that it can do nothing
     * for callers that another daemon could not do sooner.
     */
    public boolean isIsolated() {
        return !mPath.isUsable() && mIsRelayUnanswered;
    }

    /**
     * Returns whether the store is away for this daemon and, as they say, for its peers, so that
     * another daemon is unlikely to reach it.
     */
    public boolean isAway() {
        return !mPath.isUsable() && mPeers.isUnreached();
    }

    private Future<StoreReply> relay(StoreCall call, long timeoutMillis) {
        return mPeers.send(call, timeoutMillis)
                .onSuccess(reply -> mIsRelayUnanswered = reply.getStatus() == StoreStatus.UNKNOWN);
    }

    @Override
    public Future<VersionedValue> read(String key) {
        return call(
                () -> mDirect.read(key),
                StoreMessages.call(StoreOperation.READ, key, 0),
                StoreMessages::value);
    }

    @Override
    public Future<Range> list(String prefix, boolean mayBeStale) {
        return call(
                () -> mDirect.list(prefix, mayBeStale),
                StoreMessages.call(StoreOperation.LIST, prefix, 0).setMayBeStale(mayBeStale),
                StoreMessages::range);
    }

    /**
     * {@inheritDoc}
     *
     * <p>A direct watch ends early once the store turns out not to answer this daemon, and one
     * through a peer once the store answers this daemon again, since either may wait on a
     * connection that has gone silent.
     */
    @Override
    public Future<Range> watch(String prefix, long afterRevision, long waitMillis) {
        if (mPath.isUsable()) {
            return watchDirectly(prefix, afterRevision, waitMillis);
        }
        StoreCall call =
                StoreMessages.call(StoreOperation.WATCH, prefix, afterRevision)
                        .setWaitMillis(waitMillis);
        Future<StoreReply> relayed = relay(call, waitMillis + RELAY_TIMEOUT_MILLIS);
        return abandonable(relayed, mRelayedWatches)
                .compose(reply -> decode(reply, StoreMessages::range));
    }

    /** Watches through this daemon's own path to the store; ends early once that path fails. */
    Future<Range> watchDirectly(String prefix, long afterRevision, long waitMillis) {
        return abandonable(mDirect.watch(prefix, afterRevision, waitMillis), mDirectWatches);
    }

    private static <T> Future<T> abandonable(Future<T> watch, Set<Promise<?>> open) {
        Promise<T> result = Promise.promise();
        open.add(result);
        watch.onComplete(
                done -> {
                    open.remove(result);
                    if (done.succeeded()) {
                        result.tryComplete(done.result());
                    } else {
                        result.tryFail(done.cause());
                    }
                });
        return result.future();
    }

    @Override
    public Future<CommitResult> commit(Commit commit) {
        StoreCall call = StoreMessages.call(commit);
        if (!mPath.mayCallDirectly(mNanoTime.getAsLong())) {
            return relay(call, RELAY_TIMEOUT_MILLIS)
                    .compose(
                            reply ->
                                    reply.getStatus() == StoreStatus.NOT_REACHED
                                            ? commitDirectly(commit).onSuccess(this::onCommitted)
                                            : Future.succeededFuture(
                                                    StoreMessages.commitResult(reply)));
        }
        return commitDirectly(commit).compose(result -> afterDirect(call, result));
    }

    /** Makes a commit; one that is given up is made again, and may be in conflict with itself. */
    private Future<CommitResult> commitDirectly(Commit commit) {
        return mDirectCalls.make(
                () -> mDirect.commit(commit),
                () ->
                        mDirect.commit(commit)
                                .map(
                                        again ->
                                                again.outcome() == CommitOutcome.CONFLICT
                                                        ? OWN_CONFLICT
                                                        : merge(UNKNOWN, again)));
    }

    private void onCommitted(CommitResult direct) {
        if (direct == OWN_CONFLICT) {
            onAnswered();
            return;
        }
        switch (direct.outcome()) {
            case UNKNOWN -> onSilent();
            case NOT_DONE -> onRefused();
            default -> onAnswered();
        }
    }

    private Future<CommitResult> afterDirect(StoreCall call, CommitResult direct) {
        onCommitted(direct);
        if (direct.outcome() != CommitOutcome.UNKNOWN
                && direct.outcome() != CommitOutcome.NOT_DONE) {
            return Future.succeededFuture(direct);
        }
        return relay(call, RELAY_TIMEOUT_MILLIS)
                .map(reply -> merge(direct, StoreMessages.commitResult(reply)));
    }

    /** Returns the result of a commit that was tried directly and then again. */
    private static CommitResult merge(CommitResult direct, CommitResult again) {
        boolean isCertain =
                again.isDone()
                        || direct.outcome() == CommitOutcome.NOT_DONE
                        || again.outcome() == CommitOutcome.NO_SUCH_LEASE;
        return isCertain ? again : UNKNOWN;
    }

    @Override
    public Future<Long> createLease(long ttlMillis) {
        return call(
                () -> mDirect.createLease(ttlMillis),
                StoreMessages.call(StoreOperation.CREATE_LEASE, "", ttlMillis),
                StoreReply::getNumber);
    }

    @Override
    public Future<Boolean> renewLease(long lease) {
        return call(
                () -> mDirect.renewLease(lease),
                StoreMessages.call(StoreOperation.RENEW_LEASE, "", lease),
                reply -> reply.getNumber() != 0);
    }

    @Override
    public Future<Void> endLease(long lease) {
        return call(
                () -> mDirect.endLease(lease),
                StoreMessages.call(StoreOperation.END_LEASE, "", lease),
                reply -> null);
    }

    private <T> Future<T> call(
            Supplier<Future<T>> direct, StoreCall call, Function<StoreReply, T> decoder) {
        if (!mPath.mayCallDirectly(mNanoTime.getAsLong())) {
            return relay(call, RELAY_TIMEOUT_MILLIS)
                    .compose(
                            reply ->
                                    reply.getStatus() == StoreStatus.NOT_REACHED
                                            ? mDirectCalls
                                                    .make(direct, direct)
                                                    .onSuccess(ignored -> onAnswered())
                                            : decode(reply, decoder));
        }
        return mDirectCalls
                .make(direct, direct)
                .onSuccess(ignored -> onAnswered())
                .recover(
                        cause -> {
                            onFailed(cause);
                            return relay(call, RELAY_TIMEOUT_MILLIS)
                                    .compose(reply -> decode(reply, decoder))
                                    .recover(ignored -> Future.failedFuture(cause));
                        });
    }

    private static <T> Future<T> decode(StoreReply reply, Function<StoreReply, T> decoder) {
        return switch (reply.getStatus()) {
            case DONE -> Future.succeededFuture(decoder.apply(reply));
            case HISTORY_LOST ->
                    Future.failedFuture(
                            new EndivetrayException(
                                    ResultCode.HISTORY_LOST, "the changes asked for are gone"));
            default ->
                    Future.failedFuture(
                            new EndivetrayException(
                                    ResultCode.STORE_UNAVAILABLE,
                                    "no daemon has reached the store, status "
                                            + reply.getStatus()));
        };
    }

    private void onAnswered() {
        boolean wasUsable = mPath.isUsable();
        mPath.onAnswered();
        if (!wasUsable) {
            LOGGER.log(Level.INFO, "state: the store answers this daemon again");
            abandon(mRelayedWatches);
            mDirectCalls.giveUpOverdue();
        }
    }

    private void onFailed(Throwable cause) {
        boolean isRefused =
                cause instanceof EndivetrayException e && e.code() == ResultCode.STORE_UNAVAILABLE;
        if (isRefused) {
            onRefused();
        } else {
            onSilent();
        }
    }

    private void onRefused() {
        boolean wasUsable = mPath.isUsable();
        mPath.onRefused(mNanoTime.getAsLong());
        afterFailure(wasUsable);
    }

    private void onSilent() {
        boolean wasUsable = mPath.isUsable();
        mPath.onSilent(mNanoTime.getAsLong());
        afterFailure(wasUsable);
    }

    private void afterFailure(boolean wasUsable) {
        if (wasUsable && !mPath.isUsable()) {
            LOGGER.log(Level.INFO, "state: the store does not answer this daemon, peers are asked");
            abandon(mDirectWatches);
        }
    }

    private static void abandon(Set<Promise<?>> watches) {
        watches.forEach(watch -> watch.tryFail("the path of the watch to the store has changed"));
    }
}
