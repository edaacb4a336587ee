import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A minion that never crashes: it fences orders, keeps the lease, guards its capacity. */
final class Minion {
    private static final long HOLD_MAX_MILLIS = 6_000;
    private static final long STOP_MILLIS = 200;
    private static final int MAX_ENDS = 500;

    /** What a submission asks for each work unit of it, and how its runs end. */
    interface Work {
        int cpu(String task);

        /** Returns after how many milliseconds a run ends by itself, negative if it does not. */
        long durationMillis(String task, int run, Minion minion);

        /** Returns how a run ends by itself: done or failed. */
        String how(String task, int run, Minion minion);
    }

    static final class Run {
        final String mTask;
        final int mNumber;
        final int mCpu;
        final long mStartNanos = System.nanoTime();
        long mEndNanos = Long.MAX_VALUE;
        String mHow = "";

        Run(String task, int number, int cpu) {
            mTask = task;
            mNumber = number;
            mCpu = cpu;
        }
    }

    private record End(long number, String task, int run, String how) {}

    final String mId;
    final String mService;
    final String mLabel;
    final int mCpu;
    private final Work mWork;
    private final int mPort;
    private final long mBorn = System.currentTimeMillis();
    private final long mBornNanos = System.nanoTime();
    private final Map<String, Run> mRuns = new LinkedHashMap<>();
    private final Map<String, Integer> mEndedRuns = new HashMap<>();
    private final List<End> mEnds = new ArrayList<>();
    private long mFence;
    private long mDeadlineMillis;
    private long mLastEnd;
    private long mSequence;

    Minion(String id, String service, String label, int cpu, Work work) throws IOException {
        mId = id;
        mService = service;
        mLabel = label;
        mCpu = cpu;
        mWork = work;
        mPort = Http.serve(this::handle);
        Http.spawn(this::tick);
    }

    synchronized ObjectNode entry() {
        ObjectNode entry = Http.object().put("service", mService);
        entry.put("address", Http.HOST + ":" + mPort).put("zone", "a").put("version", "v1");
        entry.put("slots", 8).put("state", "ready").put("cold_remaining_ms", 0);
        entry.putObject("capacity").put("cpu", mCpu).put("mem_mb", 65_536).put("gpu", 0);
        entry.putArray("labels").add(mLabel).add("r1");
        return entry.put("born", mBorn).put("sequence", ++mSequence);
    }

    ObjectNode machine() {
        ObjectNode row = Http.object().put("machine", "m-" + mId).put("pool", mService);
        row.put("state", "up").put("zone", "a").put("id", mId);
        row.putArray("labels").add(mLabel).add("r1");
        row.putObject("capacity").put("cpu", mCpu).put("mem_mb", 65_536).put("gpu", 0);
        return row;
    }

    synchronized int usedCpu() {
        return mRuns.values().stream().mapToInt(run -> run.mCpu).sum();
    }

    /** Returns whether a run of the task is here, whatever its number. */
    synchronized boolean runs(String task) {
        return mRuns.containsKey(task);
    }

    private long clock() {
        return 50_000 + (System.nanoTime() - mBornNanos) / 1_000_000;
    }

    private Http.Reply handle(Http.Request request) throws InterruptedException {
        String instance = request.headers().get("x-endivetray-expect-instance");
        if (instance != null && !instance.equals(mId)) {
            return reply(421, Http.object());
        }
        return switch (request.path()) {
            case "/api/run-start" -> start(request.body());
            case "/api/run-stop" -> stop(request.body());
            case "/api/hold" -> hold(request.body());
            case "/api/pace" -> reply(200, Http.object());
            default -> reply(404, Http.object());
        };
    }

    private Http.Reply reply(int status, ObjectNode body) {
        return Http.reply(status, body.put("clock_ms", clock()).put("born", mBorn));
    }

    private Http.Reply refuse(String reason) {
        return reply(409, Http.object().put("reason", reason));
    }

    private boolean isFenced(JsonNode body) {
        long token = body.path("fencing_token").asLong();
        mFence = Math.max(mFence, token);
        return token < mFence;
    }

    private void extend(JsonNode body) {
        long deadline = body.path("deadline_ms").asLong();
        if (deadline > 0) {
            mDeadlineMillis =
                    Math.max(mDeadlineMillis, Math.min(deadline, clock() + HOLD_MAX_MILLIS));
        }
    }

    private synchronized Http.Reply start(JsonNode body) {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        if (isFenced(body)) {
            return refuse("fence");
        }
        Run current = mRuns.get(task);
        if (current != null && current.mNumber == number) {
            return reply(200, Http.object());
        }
        if (body.path("deadline_ms").asLong() <= clock()) {
            return refuse("late");
        }
        extend(body);
        if (current != null || number <= mEndedRuns.getOrDefault(task, 0)) {
            return refuse("old");
        }
        int cpu = mWork.cpu(task);
        if (usedCpu() + cpu > mCpu) {
            return refuse("room");
        }
        Run run = new Run(task, number, cpu);
        long duration = mWork.durationMillis(task, number, this);
        if (duration >= 0) {
            run.mEndNanos = run.mStartNanos + duration * 1_000_000;
            run.mHow = mWork.how(task, number, this);
        }
        mRuns.put(task, run);
        Rig.onStart(this, task, number);
        return reply(200, Http.object());
    }

    private synchronized Http.Reply stop(JsonNode body) {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        if (isFenced(body)) {
            return refuse("fence");
        }
        Run run = mRuns.get(task);
        if (run != null && run.mNumber <= number && !run.mHow.equals("stopped")) {
            run.mHow = "stopped";
            run.mEndNanos = System.nanoTime() + STOP_MILLIS / 2 * 1_000_000;
        }
        mEndedRuns.merge(task, number, Math::max);
        return reply(200, Http.object());
    }

    private synchronized Http.Reply hold(JsonNode body) throws InterruptedException {
        long end = System.nanoTime() + body.path("wait_ms").asLong() * 1_000_000;
        if (isFenced(body)) {
            return refuse("fence");
        }
        extend(body);
        long seen = body.path("last_seen").asLong();
        mEnds.removeIf(ended -> ended.number() <= seen);
        while (mEnds.isEmpty() && end - System.nanoTime() > 1_000_000) {
            wait((end - System.nanoTime()) / 1_000_000);
        }
        ObjectNode reply = Http.object();
        ArrayNode running = reply.putArray("running");
        for (Run run : mRuns.values()) {
            running.addArray().add(run.mTask).add(run.mNumber).add("").add(100).add(run.mCpu);
        }
        ArrayNode finished = reply.putArray("finished");
        for (End ended : mEnds.subList(0, Math.min(MAX_ENDS, mEnds.size()))) {
            finished.addArray().add(ended.number()).add(ended.task()).add(ended.run())
                    .add(ended.how()).add("");
        }
        return reply(200, reply);
    }

    private void tick() {
        while (true) {
            synchronized (this) {
                boolean hasLapsed = clock() >= mDeadlineMillis;
                long now = System.nanoTime();
                for (Run run : List.copyOf(mRuns.values())) {
                    if (hasLapsed || now - run.mEndNanos >= 0 && run.mEndNanos != Long.MAX_VALUE) {
                        mRuns.remove(run.mTask);
                        mEndedRuns.merge(run.mTask, run.mNumber, Math::max);
                        String how = hasLapsed ? "lapsed" : run.mHow;
                        mEnds.add(new End(++mLastEnd, run.mTask, run.mNumber, how));
                        Rig.onEnd(this, run.mTask, run.mNumber, how);
                        notifyAll();
                    }
                }
            }
            Http.sleep(5);
        }
    }
}
