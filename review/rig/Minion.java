package review.rig;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One life of a minion as PROTOCOL.md describes it: it starts and stops runs, fences orders, keeps
 * leases on its own clock and lists what runs and what has ended.
 */
public final class Minion {
    private static final long HOLD_MAX_MILLIS = 6_000;
    private static final long STOP_MILLIS = 150;
    private static final long STARTUP_MILLIS = 900;
    private static final long GANG_MILLIS = 3_000;

    /** A run of a work unit. */
    private static final class Run {
        String mTask;
        int mNumber;
        Jobs.Step mStep;
        long mStartNanos;
        long mStopNanos;
        Gang mGang;
    }

    /** The runs of a gang under one run number, on all minions. */
    private static final class Gang {
        final Map<Run, Minion> mMembers = new HashMap<>();
        long mCompleteNanos;
        boolean mIsOver;
    }

    private record End(long number, String task, int run, String how, boolean[] hasLapsed) {}

    private static final Map<String, Gang> GANGS = new HashMap<>();

    private final Rig mRig;
    private final String mId;
    private final String mService;
    private final String mRack;
    private final boolean mEnforces;
    private final int mCpu;
    private final long mBorn = System.currentTimeMillis();
    private final long mBornNanos = System.nanoTime();
    private final Map<String, Run> mRuns = new LinkedHashMap<>();
    private final Map<String, Integer> mEndedRuns = new HashMap<>();
    private final List<End> mEnds = new ArrayList<>();
    private HttpServer mServer;
    private long mFence;
    private long mDeadlineMillis;
    private long mLastEnd;
    private boolean mIsUp = true;
    private volatile boolean mIsCut;
    private long mSequence;

    public Minion(
            Rig rig, String id, String service, String rack, int cpu, boolean enforces)
            throws IOException {
        mRig = rig;
        mId = id;
        mService = service;
        mRack = rack;
        mCpu = cpu;
        mEnforces = enforces;
        mServer = Http.serve(0, this::handle);
        Thread ticker = new Thread(this::tickUntilDown, "minion-" + id);
        ticker.setDaemon(true);
        ticker.start();
        register();
    }

    public String id() {
        return mId;
    }

    /** Writes the minion's report to the store, unless it is cut off or gone. */
    public void register() {
        if (mIsUp && !mIsCut) {
            mRig.store().report("servers/" + mId, entry());
        }
    }

    private synchronized ObjectNode entry() {
        ObjectNode entry = Http.object();
        entry.put("service", mService);
        entry.put("address", "127.0.0.1:" + mServer.getAddress().getPort());
        entry.put("zone", "a").put("version", "v1").put("slots", 8);
        entry.put("state", "ready");
        entry.put("cold_remaining_ms", 0);
        entry.putObject("capacity").put("cpu", mCpu).put("mem_mb", 65_536).put("gpu", 0);
        entry.putArray("labels").add("a").add(mRack);
        entry.put("born", mBorn);
        return entry.put("sequence", ++mSequence);
    }

    /** Ends this life at once, with everything that runs; nothing more is answered. */
    public void kill() {
        synchronized (Minion.class) {
            synchronized (this) {
                mIsUp = false;
                for (Run run : List.copyOf(mRuns.values())) {
                    mRig.record(
                            "gone with minion " + mId + ": " + run.mTask + " run " + run.mNumber);
                    mRig.onGone(this, run.mTask);
                    leaveGang(run, "broken");
                }
                mRuns.clear();
                notifyAll();
            }
        }
        mServer.stop(0);
    }

    /** While a minion is cut off, it works on, and nothing that is sent to it arrives. */
    public void cut(boolean isCut) {
        mIsCut = isCut;
    }

    /** Returns the work units that run here, those that are being stopped too. */
    public synchronized List<String> running() {
        return List.copyOf(mRuns.keySet());
    }

    public synchronized int usedCpu() {
        return mRuns.values().stream().mapToInt(run -> run.mStep.mCpu).sum();
    }

    public int cpu() {
        return mCpu;
    }

    public boolean isUp() {
        return mIsUp;
    }

    private long clock() {
        return (System.nanoTime() - mBornNanos) / 1_000_000;
    }

    private Http.Reply handle(Http.Request request) throws Exception {
        if (mIsCut) {
            return null;
        }
        if (request.path().equals("/api/run-start")) {
            long lateMillis = mRig.lateMillis(request.body().path("task").asText());
            if (lateMillis > 0) {
                carryOutLate(request.body(), lateMillis);
                return null;
            }
        }
        String instance = request.header("X-Endivetray-Expect-Instance");
        if (instance != null && !instance.equals(mId)) {
            return Http.reply(421, Http.object().put("clock_ms", clock()));
        }
        Http.Reply reply =
                switch (request.path()) {
                    case "/api/run-start" -> start(request.body());
                    case "/api/run-stop" -> stop(request.body());
                    case "/api/hold" -> hold(request.body());
                    case "/api/pace" -> Http.reply(200, Http.object().put("clock_ms", clock()));
                    case "/health" -> Http.reply(200, Http.object());
                    default -> Http.reply(404, Http.object());
                };
        return mIsCut || !mIsUp ? null : reply;
    }

    /** Carries a start out later, on the life that then has the id to which it was sent. */
    private void carryOutLate(JsonNode body, long millis) {
        mRig.record("no answer from " + mId + " to the start " + body);
        mRig.onHeldBack(this);
        Thread late =
                new Thread(
                        () -> {
                            Rig.sleep(millis);
                            for (Minion minion : mRig.minions()) {
                                if (minion.id().equals(mId)) {
                                    mRig.record("the late start arrives at " + mId);
                                    Http.Reply reply = minion.start(body);
                                    mRig.record(
                                            "late start -> " + reply.status() + " " + reply.body());
                                }
                            }
                        });
        late.setDaemon(true);
        late.start();
    }

    private Http.Reply refuse(String reason) {
        return Http.reply(
                409, Http.object().put("clock_ms", clock()).put("reason", reason));
    }

    private boolean isFenced(JsonNode body) {
        long token = body.path("fencing_token").asLong();
        if (token < mFence) {
            return true;
        }
        mFence = token;
        return false;
    }

    private void extend(JsonNode body) {
        if (body.path("deadline_ms").asLong() > 0) {
            long end = Math.min(body.path("deadline_ms").asLong(), clock() + HOLD_MAX_MILLIS);
            mDeadlineMillis = Math.max(mDeadlineMillis, end);
        }
    }

    private Http.Reply start(JsonNode body) {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        synchronized (Minion.class) {
            synchronized (this) {
                if (!mIsUp) {
                    return null;
                }
                if (isFenced(body)) {
                    return refuse("fence");
                }
                Run current = mRuns.get(task);
                if (current != null && current.mNumber == number) {
                    return Http.reply(200, Http.object().put("clock_ms", clock()));
                }
                if (body.path("deadline_ms").asLong() <= clock()) {
                    return refuse("late");
                }
                if (number <= mEndedRuns.getOrDefault(task, 0) || current != null) {
                    extend(body);
                    return refuse("old");
                }
                Jobs.Step step = mRig.jobs().step(task);
                if (step == null) {
                    mRig.breach("UNASKED", "minion " + mId + " is told to start " + task);
                    return Http.reply(400, Http.object());
                }
                extend(body);
                if (mEnforces && usedCpu() + step.mCpu > mCpu) {
                    return refuse("room");
                }
                Run run = new Run();
                run.mTask = task;
                run.mNumber = number;
                run.mStep = step;
                run.mStartNanos = System.nanoTime();
                mRig.onStart(this, task, number, step);
                mRuns.put(task, run);
                if (step.mIsGang) {
                    joinGang(run);
                }
                return Http.reply(200, Http.object().put("clock_ms", clock()));
            }
        }
    }

    private static String gangKey(Run run) {
        return run.mTask.substring(0, run.mTask.lastIndexOf('.')) + "#" + run.mNumber;
    }

    private void joinGang(Run run) {
        run.mGang = GANGS.computeIfAbsent(gangKey(run), key -> new Gang());
        run.mGang.mMembers.put(run, this);
        if (run.mGang.mMembers.size() == run.mStep.mCount) {
            run.mGang.mCompleteNanos = System.nanoTime();
        }
    }

    /** Ends the other runs of a gang, since the work units work only together. */
    private void leaveGang(Run run, String how) {
        Gang gang = run.mGang;
        if (gang == null || gang.mIsOver) {
            return;
        }
        gang.mMembers.remove(run);
        if (gang.mCompleteNanos != 0) {
            gang.mIsOver = true;
            for (Map.Entry<Run, Minion> member : Map.copyOf(gang.mMembers).entrySet()) {
                member.getValue().end(member.getKey(), how);
            }
        }
    }

    private Http.Reply stop(JsonNode body) {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        synchronized (this) {
            if (isFenced(body)) {
                return refuse("fence");
            }
            Run run = mRuns.get(task);
            if (run != null && run.mNumber <= number) {
                if (run.mStopNanos == 0) {
                    run.mStopNanos = System.nanoTime();
                    mRig.record("stop of " + task + " run " + run.mNumber + " arrives at " + mId);
                }
            }
            mEndedRuns.merge(task, number, Math::max);
            return Http.reply(200, Http.object().put("clock_ms", clock()));
        }
    }

    private Http.Reply hold(JsonNode body) throws InterruptedException {
        long end = System.nanoTime() + body.path("wait_ms").asLong() * 1_000_000;
        synchronized (this) {
            if (isFenced(body)) {
                return refuse("fence");
            }
            extend(body);
            long seen = body.path("last_seen").asLong();
            for (End ended : List.copyOf(mEnds)) {
                if (ended.number() <= seen) {
                    mEnds.remove(ended);
                    mRig.onNoted(
                            this, ended.task(), ended.run(), ended.how(), ended.hasLapsed()[0]);
                }
            }
            while (mIsUp && mEnds.isEmpty() && end - System.nanoTime() > 1_000_000) {
                wait((end - System.nanoTime()) / 1_000_000);
            }
            ObjectNode reply = Http.object().put("clock_ms", clock()).put("born", mBorn);
            ArrayNode running = reply.putArray("running");
            for (Run run : mRuns.values()) {
                running.addArray()
                        .add(run.mTask)
                        .add(run.mNumber)
                        .add("")
                        .add(isAtWork(run) ? 100 : 0)
                        .add(0);
            }
            ArrayNode finished = reply.putArray("finished");
            for (End ended : mEnds.subList(0, Math.min(500, mEnds.size()))) {
                finished.addArray()
                        .add(ended.number())
                        .add(ended.task())
                        .add(ended.run())
                        .add(ended.how())
                        .add("");
            }
            return Http.reply(200, reply);
        }
    }

    private static boolean isAtWork(Run run) {
        return System.nanoTime() - run.mStartNanos >= STARTUP_MILLIS * 1_000_000;
    }

    private void tickUntilDown() {
        while (mIsUp) {
            synchronized (Minion.class) {
                synchronized (this) {
                    tick();
                }
            }
            Rig.sleep(10);
        }
    }

    private void tick() {
        long now = System.nanoTime();
        if (clock() >= mDeadlineMillis) {
            mEnds.forEach(ended -> ended.hasLapsed()[0] = true);
        }
        for (Run run : List.copyOf(mRuns.values())) {
            if (!mRuns.containsValue(run)) {
                continue;
            }
            long workedMillis = (now - run.mStartNanos) / 1_000_000;
            if (clock() >= mDeadlineMillis) {
                end(run, "lapsed");
            } else if (run.mStopNanos != 0 && now - run.mStopNanos >= STOP_MILLIS * 1_000_000) {
                end(run, "stopped");
            } else if (run.mGang != null) {
                tickGang(run, now);
            } else if (!run.mStep.mLasts && workedMillis >= run.mStep.mWorkMillis) {
                end(run, "done");
            }
        }
    }

    private void tickGang(Run run, long now) {
        Gang gang = run.mGang;
        if (gang.mCompleteNanos == 0) {
            if (now - run.mStartNanos >= GANG_MILLIS * 1_000_000) {
                end(run, "alone");
            }
        } else if (!gang.mIsOver
                && now - gang.mCompleteNanos >= run.mStep.mWorkMillis * 1_000_000) {
            gang.mIsOver = true;
            for (Map.Entry<Run, Minion> member : Map.copyOf(gang.mMembers).entrySet()) {
                member.getValue().end(member.getKey(), "done");
            }
        }
    }

    private void end(Run run, String how) {
        synchronized (this) {
            if (mRuns.remove(run.mTask) == null) {
                return;
            }
            mEndedRuns.merge(run.mTask, run.mNumber, Math::max);
            mEnds.add(
                    new End(++mLastEnd, run.mTask, run.mNumber, how, new boolean[] {false}));
            mRig.onEnd(this, run.mTask, run.mNumber, how);
            notifyAll();
        }
        if (!how.equals("done")) {
            leaveGang(run, "broken");
        }
    }
}
