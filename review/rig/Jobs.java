package review.rig;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The submissions of a case, from which the minions know what their work units do. */
public final class Jobs {
    /** One step; the fields have the names of PROTOCOL.md. */
    public static final class Step {
        int mCount = 1;
        int mCpu = 1_000;
        int mMemMb = 512;
        long mWorkMillis = 500;
        boolean mLasts;
        boolean mIsGang;
        int mApart;

        public Step count(int count) {
            mCount = count;
            return this;
        }

        public Step cpu(int cpu) {
            mCpu = cpu;
            return this;
        }

        public Step work(long millis) {
            mWorkMillis = millis;
            return this;
        }

        public Step lasts() {
            mLasts = true;
            return this;
        }

        public Step gang() {
            mIsGang = true;
            return this;
        }

        public Step apart(int most) {
            mApart = most;
            return this;
        }

        private ObjectNode toJson() {
            ObjectNode row = Http.object();
            row.put("count", mCount).put("cpu", mCpu).put("mem_mb", mMemMb);
            row.put("estimate_ms", mWorkMillis);
            if (mLasts) {
                row.put("long_running", true);
            }
            if (mIsGang) {
                row.put("gang", true);
            }
            if (mApart > 0) {
                row.put("anti_affinity", mApart);
            }
            return row;
        }
    }

    /** A submission. */
    public record Job(String id, String spec, List<Step> steps) {
        public ObjectNode body() {
            ObjectNode body = Http.object().put("spec", spec);
            ArrayNode rows = body.putArray("steps");
            steps.forEach(step -> rows.add(step.toJson()));
            return body;
        }
    }

    private final Map<String, Job> mJobs = new ConcurrentHashMap<>();

    public Job add(String id, Step... steps) {
        Job job = new Job(id, "spec of " + id, List.of(steps));
        mJobs.put(id, job);
        return job;
    }

    /** Returns the step of a work unit, or null if no client has sent it. */
    public Step step(String task) {
        String[] parts = task.split("\\.");
        Job job = mJobs.get(parts[0]);
        int number = Integer.parseInt(parts[2]);
        if (job == null || number >= job.steps().size()) {
            return null;
        }
        Step step = job.steps().get(number);
        return Integer.parseInt(parts[3]) < step.mCount ? step : null;
    }
}
