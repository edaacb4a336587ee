package org.endivetray.daemon.job.quota;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.endivetray.daemon.job.record.JobKeys;
import org.endivetray.job.Resources;
import org.endivetray.platform.SharedStore.Condition;
import org.endivetray.platform.VersionedValue;
import org.endivetray.policy.job.quota.QuotaLedger;

/**
 * Owners of pools that share one account's cap through one record, of which each step may be taken
 * at any time: sends, late or lost commits, watches, starts, ends, takeovers and changes of the
 * cap.
 *
 * <p>The owners' decisions are the product's. Each task takes one unit of the cap.
 *
 * <p>This class is not thread-safe.
 */
final class QuotaWorld {
    private static final String ACCOUNT = "a";
    private static final long STEP_NANOS = 3_000_000_000L;

    final List<Owner> mOwners = new ArrayList<>();
    private final int mTasksPerPool;
    private final Map<String, Long> mOwnerVersions = new TreeMap<>();
    private VersionedValue mRecord = VersionedValue.absent(JobKeys.quota(ACCOUNT));
    private long mRevision = 1;
    private int mCap;
    private long mCapVersion;

    /** The caps by version of the configuration. */
    private final List<Integer> mCaps = new ArrayList<>();

    /** Highest number of running tasks right after a start, less the highest cap then in force. */
    int mWorstExcess = Integer.MIN_VALUE;

    int mCommits;

    QuotaWorld(int pools, int cap, int tasksPerPool) {
        setCap(cap);
        mTasksPerPool = tasksPerPool;
        for (int i = 0; i < pools; i++) {
            claim("p" + i, null);
        }
    }

    private static Resources units(int units) {
        return new Resources(units, 0, 0);
    }

    private void claim(String pool, Owner former) {
        mRevision++;
        mOwnerVersions.put(pool, mRevision);
        Owner owner = new Owner(pool, mRevision, former);
        owner.mQuota.onRecord(mRecord, 0);
        mOwners.add(owner);
    }

    private int running() {
        return mOwners.stream().mapToInt(owner -> owner.mUsed).sum();
    }

    /** Returns the highest cap of the versions of the configuration that may be in force. */
    private int highestCap() {
        long oldest = mOwners.stream().mapToLong(owner -> owner.mKnownVersion).min().orElseThrow();
        return Collections.max(mCaps.subList((int) oldest - 1, mCaps.size()));
    }

    private void apply(QuotaCommit change) {
        mCommits++;
        mRevision++;
        byte[] value = change.commit().writes().get(0).value();
        mRecord = new VersionedValue(mRecord.key(), mRevision, value);
    }

    private boolean holds(Condition condition) {
        if (condition.key().equals(mRecord.key())) {
            return mRecord.version() == condition.version();
        }
        String pool = condition.key().substring(JobKeys.OWNER_PREFIX.length());
        return mOwnerVersions.getOrDefault(pool, 0L) == condition.version();
    }

    /** Changes the cap in the configuration, of which each owner learns by a step of its own. */
    void setCap(int cap) {
        if (cap != mCap) {
            mCap = cap;
            mCapVersion++;
            mCaps.add(cap);
        }
    }

    /** Returns what distinguishes this state from others. */
    String state() {
        StringBuilder state =
                new StringBuilder().append(mCap).append(mCapVersion).append(text(mRecord));
        mOwners.forEach(owner -> state.append(owner.state()));
        return state.toString();
    }

    private static String text(VersionedValue item) {
        return item.version() + (item.isPresent() ? new String(item.value()) : "");
    }

    /** Returns how many tasks run once all room is used. */
    int usable() {
        return Math.min(mCap, mTasksPerPool * mOwnerVersions.size());
    }

    /** Lets all owners act without failures until nothing changes any more. */
    void settle() {
        for (int i = 0; i < 400; i++) {
            for (Owner owner : List.copyOf(mOwners)) {
                for (Step step : SETTLING) {
                    step.take(this, owner);
                }
            }
        }
    }

    private static final List<Step> SETTLING =
            List.of(
                    Step.HEAR,
                    Step.LEARN_CAP,
                    Step.WATCH,
                    Step.START,
                    Step.SEND_LATER,
                    Step.EXECUTE);

    /** A step that an owner, or something on its way to the store, may take. */
    enum Step {
        /** Sends the commit that is due. */
        SEND {
            @Override
            void take(QuotaWorld world, Owner owner) {
                owner.send(0);
            }
        },
        /** Sends the commit that is due after a while. */
        SEND_LATER {
            @Override
            void take(QuotaWorld world, Owner owner) {
                owner.send(STEP_NANOS);
            }
        },
        /** The store carries out the commit and answers. */
        EXECUTE {
            @Override
            void take(QuotaWorld world, Owner owner) {
                owner.execute(true);
            }
        },
        /** The store carries out the commit, but the answer is lost. */
        LOSE_ANSWER {
            @Override
            void take(QuotaWorld world, Owner owner) {
                owner.execute(false);
            }
        },
        /** The owner gives up the commit, which the store may carry out later. */
        TIME_OUT {
            @Override
            void take(QuotaWorld world, Owner owner) {
                if (owner.mSent != null) {
                    owner.mLate.add(owner.mSent);
                    owner.mSent = null;
                }
            }
        },
        /** The store carries out a commit that the owner has given up. */
        EXECUTE_LATE {
            @Override
            void take(QuotaWorld world, Owner owner) {
                if (!owner.mLate.isEmpty()) {
                    QuotaCommit change = owner.mLate.remove(0);
                    if (change.commit().conditions().stream().allMatch(world::holds)) {
                        world.apply(change);
                    }
                }
            }
        },
        /** The owner learns of the present record. */
        WATCH {
            @Override
            void take(QuotaWorld world, Owner owner) {
                owner.mQuota.onRecord(world.mRecord, 0);
            }
        },
        START {
            @Override
            void take(QuotaWorld world, Owner owner) {
                owner.start();
            }
        },
        END {
            @Override
            void take(QuotaWorld world, Owner owner) {
                owner.mUsed = Math.max(0, owner.mUsed - 1);
            }
        },
        /** Another daemon claims the pool; the owner does not know it yet. */
        TAKE_OVER {
            @Override
            void take(QuotaWorld world, Owner owner) {
                if (owner.isPresent() && owner.mFormer == null) {
                    world.claim(owner.mPool, owner);
                }
            }
        },
        /** The minions of the former owner answer the present one, and refuse the former. */
        HEAR {
            @Override
            void take(QuotaWorld world, Owner owner) {
                if (owner.mFormer != null) {
                    owner.mUsed += owner.mFormer.mUsed;
                    world.mOwners.remove(owner.mFormer);
                    owner.mFormer = null;
                }
            }
        },
        /** The owner learns of the cap in the configuration. */
        LEARN_CAP {
            @Override
            void take(QuotaWorld world, Owner owner) {
                owner.mKnownVersion = world.mCapVersion;
                owner.mQuota.setCap(units(world.mCap), world.mCapVersion);
            }
        };

        abstract void take(QuotaWorld world, Owner owner);
    }

    /** A daemon's ownership of one pool. */
    final class Owner implements QuotaMember {
        final String mPool;
        final AccountQuota mQuota = new AccountQuota(ACCOUNT, units(mCap), mCapVersion);
        private final Condition mKey;
        private long mKnownVersion = mCapVersion;
        private Owner mFormer;
        private final int mInherited;
        private QuotaCommit mSent;
        private final List<QuotaCommit> mLate = new ArrayList<>();
        private long mNowNanos;
        int mUsed;

        Owner(String pool, long version, Owner former) {
            mPool = pool;
            mKey = new Condition(JobKeys.OWNER_PREFIX + pool, version);
            mFormer = former;
            mInherited = former == null ? 0 : Math.max(mTasksPerPool, former.mUsed);
        }

        boolean isPresent() {
            return mOwnerVersions.get(mPool) == mKey.version();
        }

        private void send(long nanos) {
            mNowNanos += nanos;
            if (mSent == null) {
                mSent = QuotaCommit.of(mQuota, List.of(this), Set.of(), mNowNanos);
                if (mSent != null) {
                    mQuota.onProposed(mSent.ledger(), List.of(this));
                }
            }
        }

        private void execute(boolean isAnswered) {
            QuotaCommit change = mSent;
            if (change == null) {
                return;
            }
            mSent = null;
            boolean isMet = change.commit().conditions().stream().allMatch(QuotaWorld.this::holds);
            if (isMet) {
                apply(change);
            }
            if (isAnswered && isMet) {
                mQuota.onStored(change.ledger(), mRevision);
            } else if (isAnswered) {
                mQuota.onRecord(mRecord, 0);
            }
        }

        /** Tasks that the former owner may run unseen: all that it knew of. */
        private int unseen() {
            return mFormer == null ? 0 : mInherited;
        }

        private void start() {
            boolean mayStart =
                    mUsed < mTasksPerPool
                            && mQuota.limit(mPool).covers(units(mUsed + unseen() + 1));
            if (mayStart) {
                mUsed++;
                mWorstExcess = Math.max(mWorstExcess, running() - highestCap());
            }
        }

        @Override
        public String pool() {
            return mPool;
        }

        @Override
        public Condition owner() {
            return mKey;
        }

        @Override
        public AccountLoad load(String account) {
            return new AccountLoad(units(mUsed), units(mTasksPerPool - mUsed), units(1));
        }

        @Override
        public boolean isSettled() {
            return mFormer == null;
        }

        private String state() {
            QuotaLedger ledger = mQuota.ledger();
            return "|"
                    + mPool
                    + isPresent()
                    + (mFormer != null)
                    + mUsed
                    + mQuota.configured()
                    + mQuota.version()
                    + ledger.share(mPool)
                    + mQuota.limit(mPool)
                    + (mSent == null ? "" : mSent.commit().conditions() + "" + mSent.ledger())
                    + mLate.stream().map(QuotaCommit::ledger).toList()
                    + mNowNanos;
        }
    }
}
