package org.endivetray.policy.job;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Gives callers that are refused because a shard has reached its limit of jobs the time at which to
 * return, and keeps a place for them then.
 *
 * <p>Each refused caller gets the place of one job that is expected to end, at the rate at which
 * jobs have ended lately. Returns are thus spread over the time in which places become free, and a
 * caller that returns at its time is not overtaken by one that comes for the first time.
 *
 * <p>Invariants: at most {@value #MAX_PLACES} places are kept, each for a bounded time.
 *
 * <p>This class is not thread-safe.
 */
public final class ReturnTimes {
    private static final int MAX_PLACES = 4_096;

    /** The header that carries the time has whole seconds. */
    private static final long MIN_RETURN_MILLIS = 1_000;

    private static final long MAX_RETURN_MILLIS = 30_000;

    /** Return time while no job has ended lately. */
    private static final long DEFAULT_RETURN_MILLIS = 2_000;

    /** Time for which a place is kept: one second of rounding, and the caller's delay. */
    private static final long KEPT_MILLIS = 2_500;

    /** Time over which the rate is averaged. */
    private static final double RATE_MILLIS = 5_000;

    /** Lowest rate that is used, in jobs per millisecond. */
    private static final double MIN_RATE = 0.2 / 1e3;

    /** Return times by job id, in the order in which they were given. */
    private final Map<String, Long> mPlaces = new LinkedHashMap<>();

    private double mRecentEnds;
    private long mRatedMillis;
    private long mNextPlaceMillis;

    /**
     * Records that jobs have ended.
     *
     * @param jobs number of jobs that have ended since the last call, 0 or more
     * @param nowMillis time of a monotonic clock, in milliseconds
     */
    public void onEnded(int jobs, long nowMillis) {
        mRecentEnds = recentEnds(nowMillis) + jobs;
        mRatedMillis = nowMillis;
    }

    private double recentEnds(long nowMillis) {
        return mRecentEnds * Math.exp((mRatedMillis - nowMillis) / RATE_MILLIS);
    }

    /**
     * Returns whether a job may take one of the free places: those that are not kept for others.
     *
     * @param id the job's id, not null
     * @param freePlaces number of jobs below the limit
     * @param nowMillis time of a monotonic clock, in milliseconds
     */
    public boolean mayEnter(String id, int freePlaces, long nowMillis) {
        if (freePlaces <= 0) {
            return false;
        }
        if (freePlaces > mPlaces.size()) {
            return true;
        }
        Long ownMillis = mPlaces.get(id);
        if (ownMillis != null && ownMillis <= nowMillis) {
            return true;
        }
        removeOverdue(nowMillis);
        long due = mPlaces.values().stream().filter(at -> at <= nowMillis).count();
        return freePlaces > due;
    }

    /** Gives up the place of a job that was accepted. */
    public void onAccepted(String id) {
        mPlaces.remove(id);
    }

    /**
     * Returns the time after which a refused caller may return, in milliseconds. A caller that
     * returns early keeps its time.
     *
     * @param id the job's id, not null
     * @param nowMillis time of a monotonic clock, in milliseconds
     */
    public long refuse(String id, long nowMillis) {
        removeOverdue(nowMillis);
        Long ownMillis = mPlaces.get(id);
        if (ownMillis != null && ownMillis > nowMillis) {
            return Math.max(MIN_RETURN_MILLIS, ownMillis - nowMillis);
        }
        mPlaces.remove(id);
        double perMillis = recentEnds(nowMillis) / RATE_MILLIS;
        if (perMillis < MIN_RATE) {
            return DEFAULT_RETURN_MILLIS;
        }
        long place = Math.max(nowMillis, mNextPlaceMillis) + Math.round(1 / perMillis);
        if (place - nowMillis > MAX_RETURN_MILLIS || mPlaces.size() >= MAX_PLACES) {
            return MAX_RETURN_MILLIS;
        }
        mNextPlaceMillis = place;
        long returnMillis = Math.max(MIN_RETURN_MILLIS, place - nowMillis);
        mPlaces.put(id, nowMillis + returnMillis);
        return returnMillis;
    }

    private void removeOverdue(long nowMillis) {
        Iterator<Long> times = mPlaces.values().iterator();
        while (times.hasNext()) {
            if (times.next() + KEPT_MILLIS < nowMillis) {
                times.remove();
            }
        }
    }
}
