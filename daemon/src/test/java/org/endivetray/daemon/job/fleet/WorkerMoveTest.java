package org.endivetray.daemon.job.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.endivetray.job.WorkerInfo;
import org.endivetray.job.WorkerInfo.WorkerStatus;
import org.endivetray.platform.WorkerAdmin.WorkerOrderOutcome;
import org.endivetray.policy.job.RebalancePolicy;
import org.junit.jupiter.api.Test;

/**
 * Tests the move of a worker whose order is refused or left without an answer.
 *
 * <p>This class is not thread-safe.
 */
class WorkerMoveTest {
    private static final RebalancePolicy.Move MOVE = new RebalancePolicy.Move("w1", "spare", "ice");

    private final FleetHarness mHarness = new FleetHarness();
    private final Moves mMoves = new Moves();

    /** Records how moves end. */
    private static final class Moves implements WorkerMove.Listener {
        final List<Boolean> mEnds = new ArrayList<>();

        @Override
        public boolean isStopped() {
            return false;
        }

        @Override
        public void onOrdered(RebalancePolicy.Move move, long orderedNanos) {}

        @Override
        public void onEnded(RebalancePolicy.Move move, boolean isMoved) {
            mEnds.add(isMoved);
        }
    }

    private WorkerMove start() {
        FleetHarness.Owner owner = mHarness.takeOver("a");
        mHarness.mExecutor.advance(100);
        WorkerMove move =
                new WorkerMove(owner.context(), MOVE, "i-1", owner.key(), owner.orders(), mMoves);
        move.start();
        mHarness.mExecutor.advance(100);
        return move;
    }

    private static WorkerInfo listed(String pool) {
        return new WorkerInfo("w1", pool, WorkerStatus.UP, "i-1", List.of("a", "r1"), 32_000);
    }

    @Test
    void aMoveThatIsRefusedIsGivenUp() {
        mHarness.mAdmin.mOutcomes.add(WorkerOrderOutcome.NOT_DONE);
        start();
        mHarness.mExecutor.advance(2_000);
        assertThat(mMoves.mEnds).containsExactly(false);
        assertThat(mHarness.mAdmin.mOrdered).containsExactly("w1");
    }

    @Test
    void aMoveWithoutAnAnswerIsRepeatedAlthoughItsRepetitionsAreRefused() {
        mHarness.mAdmin.mOutcomes.add(WorkerOrderOutcome.UNKNOWN);
        mHarness.mAdmin.mOtherwise = WorkerOrderOutcome.NOT_DONE;
        start();
        mHarness.mExecutor.advance(2_000);
        assertThat(mMoves.mEnds).isEmpty();
        mHarness.mAdmin.mOtherwise = WorkerOrderOutcome.DONE;
        mHarness.mExecutor.advance(500);
        assertThat(mMoves.mEnds).containsExactly(true);
    }

    @Test
    void aMoveWithoutAnAnswerEndsOnceTheWorkerIsListedInItsNewPool() {
        mHarness.mAdmin.mOutcomes.add(WorkerOrderOutcome.UNKNOWN);
        mHarness.mAdmin.mOtherwise = WorkerOrderOutcome.BUSY;
        WorkerMove move = start();
        mHarness.mExecutor.advance(1_000);
        move.onListed(listed("spare"), mHarness.mExecutor.nanoTime());
        assertThat(mMoves.mEnds).isEmpty();
        move.onListed(listed("ice"), mHarness.mExecutor.nanoTime());
        assertThat(mMoves.mEnds).containsExactly(true);
        int orders = mHarness.mAdmin.mOrdered.size();
        mHarness.mExecutor.advance(1_000);
        assertThat(mHarness.mAdmin.mOrdered).hasSize(orders);
    }
}
